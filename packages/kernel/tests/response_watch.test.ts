/** Which responses are ended, which wait for their turns, and which do neither. */
import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import type {ClientRequest} from 'node:http';
import {Socket} from 'node:net';
import {describe, it} from 'node:test';
import {ResponseWatch, type ResponseExcess} from '@irisdock/kernel';

const KIB = 1024;
const READ_BYTES = 64 * KIB;
/** One-byte chunks in a read: each has a size, two line ends and the byte. */
const TINY_CHUNKS = Math.floor(READ_BYTES / 6);

/** One read: what it brought, and what the reader of the body made of it. */
interface Read {
  readonly wireBytes: number;
  /** The lengths of the parts of the body. */
  readonly parts: readonly number[];
  readonly events?: number;
  readonly emptyEvents?: readonly number[];
}

/** A watched response whose reads and time are made up. */
class WatchedResponse {
  readonly excesses: ResponseExcess[] = [];
  readonly socket = new Socket();
  /** How often its connection was paused. */
  pauses = 0;
  now = 0;
  private readonly request = new EventEmitter();
  private readonly watch: ResponseWatch;

  constructor(isPaced = false) {
    const share = {
      pause: () => this.pauses++,
      release: () => undefined,
    };
    this.watch = new ResponseWatch(
      this.request as unknown as ClientRequest,
      {
        handleExcess: (excess) => this.excesses.push(excess),
        recordPaced: () => this.excesses.push('paced'),
      },
      share,
      () => this.now,
    );
    if (isPaced) this.watch.pause();
    this.request.emit('socket', this.socket);
  }

  startBody(): void {
    const message = {complete: false, readableLength: 0};
    this.request.emit('response', message);
  }

  /** Makes reads, each `ms` after the one before, until one is too much. */
  read(read: Read, count: number, ms = 0): void {
    const accept = (): void => {
      for (const length of read.parts) {
        this.watch.recordPart(Buffer.alloc(length));
      }
      this.watch.recordEvents(read.events ?? 0);
      for (const length of read.emptyEvents ?? []) {
        this.watch.recordEmptyEvent(Buffer.alloc(length));
      }
    };
    for (let index = 0; index < count; index++) {
      this.now += ms;
      accept();
      this.socket.emit('data', Buffer.alloc(read.wireBytes));
      if (this.watch.fault !== undefined) return;
    }
  }
}

const ENDLESS: readonly (readonly [string, Read])[] = [
  ['a chunk size', {wireBytes: READ_BYTES, parts: []}],
  [
    'one-byte chunks',
    {
      wireBytes: READ_BYTES,
      parts: new Array<number>(TINY_CHUNKS).fill(1),
    },
  ],
  [
    'comments',
    {
      wireBytes: READ_BYTES,
      parts: [READ_BYTES],
      emptyEvents: new Array<number>(READ_BYTES / 16).fill(16),
    },
  ],
];

// Guards against a server that takes the time of a host by bytes that bring its
// caller nothing.
describe('a response without end', () => {
  for (const [what, read] of ENDLESS) {
    it(`is ended if it consists of ${what}`, () => {
      const response = new WatchedResponse();
      response.startBody();
      response.read(read, 1000);
      assert.equal(response.excesses.at(-1), 'content');
    });
  }

  it('is ended before its head is complete', () => {
    const response = new WatchedResponse();
    response.read({wireBytes: READ_BYTES, parts: []}, 1000);
    assert.deepEqual(response.excesses, ['head']);
  });

  it('waits for its turns if its events have content', () => {
    const response = new WatchedResponse();
    response.startBody();
    const read = {wireBytes: READ_BYTES, parts: [READ_BYTES], events: 4000};
    response.read(read, 100);
    assert.deepEqual(response.excesses, ['paced']);
    assert.ok(response.pauses > 90);
  });
});

// Guards against many answers that each take much time by their first read.
describe('a response of a server whose responses had very many parts', () => {
  it('waits for its turn before its first read', () => {
    const response = new WatchedResponse(true);
    assert.equal(response.pauses, 1);
  });
});

const SOUND: readonly (readonly [string, Read, number, number])[] = [
  ['a long body', {wireBytes: READ_BYTES, parts: [READ_BYTES]}, 1000, 0],
  ['a long body in small reads', {wireBytes: 1400, parts: [1400]}, 6000, 0],
  [
    'an event in each read, at 1000 a second',
    {wireBytes: 80, parts: [74], events: 1},
    100_000,
    1,
  ],
  [
    'a comment each second for a day',
    {wireBytes: 20, parts: [14], events: 1, emptyEvents: [14]},
    86_400,
    1000,
  ],
];

// Guards against a host that ends or slows the response of a sound server.
describe('a response of a sound server', () => {
  for (const [what, read, count, ms] of SOUND) {
    it(`is not touched: ${what}`, () => {
      const response = new WatchedResponse();
      response.startBody();
      response.read(read, count, ms);
      assert.deepEqual(response.excesses, []);
      assert.equal(response.pauses, 0);
    });
  }
});
