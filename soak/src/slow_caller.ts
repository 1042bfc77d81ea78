/**
 * A caller that writes its body slowly and reads only when it has written all
 * of it. Its routes and keys were dropped: it is to get its refusal.
 */
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {splitPlace, type Random} from '@irisdock/kernel';
import {
  createCallerHeaders,
  HOST_NAME,
} from '@irisdock/users-platform/fixtures';
import type {AddressBook} from './address_book.js';
import type {HostProcess} from './host_process.js';
import {chooseTarget, type RequestKind} from './request_kinds.js';
import type {Attempt, AttemptEnd, Witness} from './witness.js';

/** A host, as callers reach it. */
type CalledHost = Pick<HostProcess, 'callerAddress' | 'callerLink' | 'name'>;

/** What a slow caller works with. */
export interface SlowCallerParts {
  readonly hosts: readonly CalledHost[];
  /** Names hosts that take callers now. */
  readonly addresses: Pick<AddressBook, 'choose'>;
  readonly witness: Witness;
  readonly random: Random;
  /** Gives the newest version of the configuration. */
  getVersion(): number;
}

const KINDS: readonly RequestKind[] = ['droppedRoute', 'droppedKey'];
const PIECES = 5;
const PIECE_BYTES = 20_000;
const PIECE_GAP_MS = 80;
const REMAINING_MS = 3000;
/** An answer comes within this time, in ms. */
const PATIENCE_MS = 4500;
const PAUSE_MS = 200;
const HEAD_END = '\r\n\r\n';

/** One slow caller. */
export class SlowCaller {
  private readonly controller = new AbortController();
  private count = 0;

  constructor(
    private readonly name: string,
    private readonly parts: SlowCallerParts,
  ) {}

  /** Sends requests until it is stopped. */
  async run(): Promise<void> {
    while (!this.controller.signal.aborted) {
      await this.sendRequest();
      await sleep(PAUSE_MS);
    }
  }

  /** Begins no more requests. */
  stop(): void {
    this.controller.abort();
  }

  /** Sends one request and takes its end. */
  async sendRequest(): Promise<void> {
    const {hosts, addresses, witness, random} = this.parts;
    const address = await addresses.choose();
    const host = hosts.find((one) => one.callerAddress === address);
    if (host === undefined) return;
    this.count++;
    const attempt: Attempt = {
      attemptId: `${this.name}-${this.count}`,
      kind: KINDS[random.getInt(KINDS.length)] ?? 'droppedRoute',
      host: host.name,
      body: 'x'.repeat(PIECES * PIECE_BYTES),
      startedAt: performance.now(),
      lastEventId: 0,
      resumes: undefined,
    };
    witness.recordAttempt(attempt);
    witness.recordEnd(attempt, await this.sendAttempt(attempt, host));
  }

  private async sendAttempt(
    attempt: Attempt,
    host: CalledHost,
  ): Promise<AttemptEnd> {
    const socket = connect(splitPlace(host.callerAddress));
    socket.pause();
    const closed = new Promise<void>((resolve) => {
      socket.on('error', () => undefined);
      socket.once('close', () => {
        resolve();
      });
    });
    const timer = setTimeout(() => socket.destroy(), PATIENCE_MS);
    let ownPort = 0;
    socket.once('connect', () => {
      ownPort = socket.localPort ?? 0;
    });
    await this.writeSlowly(socket, attempt);
    let text = '';
    socket.setEncoding('utf8');
    socket.on('data', (piece: string) => {
      text += piece;
    });
    socket.resume();
    await closed;
    clearTimeout(timer);
    const isGone = host.callerLink.refusedPorts.has(ownPort);
    return parseEnd(text) ?? {kind: 'cut', wasSent: ownPort !== 0 && !isGone};
  }

  private async writeSlowly(
    socket: Socket,
    {attemptId, kind, body}: Attempt,
  ): Promise<void> {
    const {path, key} = chooseTarget(kind, this.parts.getVersion());
    const headers = {
      ...createCallerHeaders({
        hostName: HOST_NAME,
        key,
        attemptId,
        remainingMs: REMAINING_MS,
      }),
      'Content-Length': String(body.length),
      Connection: 'close',
    };
    const lines = Object.entries(headers).map((pair) => pair.join(': '));
    const head = [`POST ${path} HTTP/1.1`, ...lines].join('\r\n');
    socket.write(`${head}${HEAD_END}`);
    for (let at = 0; at < body.length; at += PIECE_BYTES) {
      await sleep(PIECE_GAP_MS);
      if (socket.destroyed) return;
      socket.write(body.slice(at, at + PIECE_BYTES));
    }
  }
}

/** Parses a whole answer; undefined when it is not whole. */
function parseEnd(text: string): AttemptEnd | undefined {
  const headEnd = text.indexOf(HEAD_END);
  if (headEnd < 0) return undefined;
  const head = text.slice(0, headEnd);
  const body = text.slice(headEnd + HEAD_END.length);
  const length = Number(/^content-length: (\d+)$/imu.exec(head)?.[1]);
  if (body.length !== length) return undefined;
  return {
    kind: 'answer',
    status: Number(head.split(' ')[1]),
    body,
    isWhole: true,
    retryAfter: /^retry-after: (.+)$/imu.exec(head)?.[1],
  };
}
