/**
 * A stand-in for a consumer: sends HTTP/1.1 requests on channels of its own and
 * notes how each ended, from what it sees on the socket alone.
 */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {HOST_NAME, KEY} from './deployment.mjs';

const HEAD_END = '\r\n\r\n';
let lastId = 0;

/** Creates an id that no other request of this run has. */
export function createRequestId() {
  lastId++;
  const unique = (process.pid * 0x10000 + lastId).toString(16);
  return unique.padStart(16, '0');
}

/** Formats a request; further lines come before the empty one. */
export function formatRequest(request) {
  const {id, method = 'GET', path, body = '', lines = []} = request;
  const {key = KEY, remainingMs = 1000} = request;
  const head = [
    `${method} ${path} HTTP/1.1`,
    `Host: ${HOST_NAME}`,
    `X-Irisdock-Attempt-Id: ${id}`,
    `X-Irisdock-Deadline-Remaining: ${remainingMs}`,
    `X-Irisdock-Key: ${key}`,
    ...lines,
  ];
  if (method !== 'GET') head.push(`Content-Length: ${Buffer.byteLength(body)}`);
  return `${head.join('\r\n')}${HEAD_END}${body}`;
}

/** One channel to a host. */
export class Channel {
  constructor(address) {
    const [host, port] = address.split(':');
    this.socket = connect({host, port: Number(port), noDelay: true});
    this.bytes = Buffer.alloc(0);
    this.served = 0;
    this.isClosed = false;
    this.waiting = undefined;
    this.socket.on('error', (error) => {
      this.error = error.code;
    });
    this.socket.on('data', (chunk) => {
      this.bytes = Buffer.concat([this.bytes, chunk]);
      this.checkAnswer();
    });
    this.socket.on('close', () => {
      this.isClosed = true;
      this.finish({end: this.error ?? 'closed'});
    });
  }

  /** Sends a request; resolves with its answer or with how the channel ended. */
  async send(request, maxWaitMs) {
    const isKept = this.served > 0;
    const sentAt = performance.now();
    const result = await new Promise((resolve) => {
      this.waiting = resolve;
      this.timer = setTimeout(() => {
        this.finish({end: 'no answer'});
        this.socket.destroy();
      }, maxWaitMs);
      this.socket.write(formatRequest(request));
      if (this.isClosed) this.finish({end: this.error ?? 'closed'});
    });
    const ms = Math.round(performance.now() - sentAt);
    return {...result, id: request.id, isKept, sentAt, ms};
  }

  checkAnswer() {
    const end = this.bytes.indexOf(HEAD_END);
    if (end === -1) return;
    const head = this.bytes.subarray(0, end).toString('latin1');
    const length = Number(/content-length: *(\d+)/iu.exec(head)?.[1] ?? 0);
    const bodyEnd = end + HEAD_END.length + length;
    if (this.bytes.length < bodyEnd) return;
    const body = this.bytes.subarray(end + HEAD_END.length, bodyEnd);
    this.bytes = this.bytes.subarray(bodyEnd);
    this.served++;
    const status = Number(head.split(' ')[1]);
    this.finish({end: 'answered', status, head, body: body.toString('latin1')});
  }

  finish(result) {
    clearTimeout(this.timer);
    const {waiting} = this;
    this.waiting = undefined;
    waiting?.(result);
  }

  close() {
    this.socket.destroy();
  }
}
