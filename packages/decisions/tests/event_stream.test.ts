/** Splitting bytes into events, and tracking the progress of a stream. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  EventProgress,
  EventSplitter,
  splitEventsNaively,
  type ServerSentEvent,
} from '@irisdock/decisions';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

function createEvent(id: number): ServerSentEvent {
  return {id, bytes: Buffer.from(`id: ${id}\ndata: x\n\n`)};
}

const texts = fc
  .array(
    fc.record({
      id: fc.nat(1000),
      data: fc.constantFrom('x', 'two words', ''),
    }),
  )
  .chain((events) => {
    const whole = events
      .map(({id, data}) => `id: ${id}\ndata: ${data}\n\n`)
      .join('');
    return fc.record({
      text: fc.constantFrom(whole, `${whole}id: 7\ndata: pa`),
      splitPoints: fc.array(fc.nat(Math.max(1, whole.length))),
    });
  });

describe('EventSplitter', () => {
  it('returns the same events wherever the bytes are split', () => {
    fc.assert(
      fc.property(texts, ({text, splitPoints}) => {
        const splitter = new EventSplitter();
        const actual: string[] = [];
        const points = [0, ...splitPoints.sort((a, b) => a - b), text.length];
        for (const [index, from] of points.entries()) {
          const part = text.slice(from, points[index + 1] ?? text.length);
          for (const {bytes} of splitter.add(Buffer.from(part))) {
            actual.push(bytes.toString());
          }
        }
        assert.deepEqual(actual, splitEventsNaively(text));
        const rest = text.length - actual.join('').length;
        assert.equal(splitter.pendingBytes, rest);
      }),
      RUN_OPTIONS,
    );
  });

  it('finds ends that small parts bring in pieces', () => {
    const text = `${'x'.repeat(3000)}\r\n\r\nid: 7\r\ndata: y\r\n\r\nz\n\n`;
    const splitter = new EventSplitter();
    const events: ServerSentEvent[] = [];
    for (const byte of Buffer.from(text)) {
      events.push(...splitter.add(Buffer.from([byte])));
    }
    assert.deepEqual(
      events.map(({id, bytes}) => [id, bytes.length]),
      [
        [undefined, 3004],
        [7, 18],
        [undefined, 3],
      ],
    );
    assert.equal(splitter.pendingBytes, 0);
  });

  it('takes no more memory than twice an incomplete event', () => {
    const splitter = new EventSplitter();
    const part = Buffer.from('x');
    for (let bytes = 1; bytes <= 100_000; bytes++) {
      splitter.add(part);
      assert.equal(splitter.pendingBytes, bytes);
      assert.ok(splitter.pendingCapacity <= 2 * bytes);
    }
  });

  it('reads ids with LF and CRLF line endings', () => {
    const splitter = new EventSplitter();
    const events = splitter.add(
      Buffer.from('id: 4\r\ndata: x\r\n\r\ndata: none\n\nid:12\ndata: y\n\n'),
    );
    assert.deepEqual(
      events.map(({id}) => id),
      [4, undefined, 12],
    );
  });
});

const ID_LINE = /^id: ?(\d{1,15})\r?$/m;
const eventLines = fc.array(
  fc.constantFrom(
    'id: 4',
    'id:12',
    'id: ',
    'id: 7x',
    'id: 123456789012345',
    'id: 1234567890123456',
    'id: 9\r',
    'data: id: 3',
  ),
  {minLength: 1, maxLength: 4},
);

describe('the id of an event', () => {
  it('is found wherever its line is', () => {
    fc.assert(
      fc.property(eventLines, (lines) => {
        const text = `${lines.join('\n')}\n\n`;
        const [event] = new EventSplitter().add(Buffer.from(text));
        const id = ID_LINE.exec(text)?.[1];
        assert.equal(event?.id, id === undefined ? undefined : Number(id));
      }),
      RUN_OPTIONS,
    );
  });
});

describe('EventProgress', () => {
  it('passes each event once and in order', () => {
    fc.assert(
      fc.property(fc.array(fc.integer({min: 1, max: 30})), (ids) => {
        const progress = new EventProgress(undefined);
        const passed: number[] = [];
        for (const id of ids) {
          const {newEvents} = progress.accept([createEvent(id)]);
          if (newEvents.length > 0) passed.push(id);
        }
        const sorted = [...new Set(passed)].sort((a, b) => a - b);
        assert.deepEqual(passed, sorted);
      }),
      RUN_OPTIONS,
    );
  });

  it('detects missing events after a failover', () => {
    const progress = new EventProgress(undefined);
    progress.accept([createEvent(1), createEvent(2), createEvent(3)]);
    progress.markFailover();
    const repeated = progress.accept([createEvent(2), createEvent(3)]);
    assert.deepEqual(repeated, {newEvents: [], hasGap: false});
    assert.equal(progress.accept([createEvent(5)]).hasGap, true);
    assert.equal(progress.accept([createEvent(4)]).hasGap, false);
    assert.equal(progress.lastEventId, 4);
  });

  it('decides on the events of another engine as they would be passed', () => {
    const ids = fc.array(fc.integer({min: 1, max: 9}), {minLength: 1});
    fc.assert(
      fc.property(fc.integer({min: 0, max: 5}), ids, (count, nextIds) => {
        const progress = new EventProgress(undefined);
        const known = Array.from({length: count}, (_, at) => at + 1);
        progress.accept(known.map(createEvent));
        const events = nextIds.map(createEvent);
        const decided = progress.decideContinuation(events);
        assert.equal(progress.lastEventId, known.at(-1));
        progress.markFailover();
        const {newEvents, hasGap} = progress.accept(events);
        const isGapFirst = hasGap && newEvents.length === 0;
        const isNew = newEvents.length > 0;
        assert.equal(decided === 'next', isNew);
        assert.equal(decided === 'after-gap', isGapFirst);
      }),
      RUN_OPTIONS,
    );
  });

  it('skips the events that the caller already has', () => {
    const progress = new EventProgress(9);
    assert.equal(progress.accept([createEvent(9)]).newEvents.length, 0);
    assert.equal(progress.accept([createEvent(10)]).newEvents.length, 1);
  });
});
