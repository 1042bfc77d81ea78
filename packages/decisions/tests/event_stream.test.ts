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

function createEvent(id: number | string): ServerSentEvent {
  return splitEvent(`id: ${id}\ndata: x\n\n`);
}

/** Creates an event with data and without an id. */
function createPlainEvent(): ServerSentEvent {
  return splitEvent('data: x\n\n');
}

function splitEvent(text: string): ServerSentEvent {
  const [event] = new EventSplitter().add(Buffer.from(text, 'latin1'));
  assert.ok(event);
  return event;
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
        ['7', 18],
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
      ['4', undefined, '12'],
    );
  });
});

/** Finds the id of an event as the format of event streams defines it. */
function findIdNaively(lines: readonly string[]): string | undefined {
  let id: string | undefined;
  for (const line of lines) {
    const [name, ...rest] = line.replace(/\r$/, '').split(':');
    const value = rest.join(':').replace(/^ /, '');
    if (name === 'id') id = value;
  }
  const isUsable =
    id !== undefined && id.length <= 256 && /^[\w-]+( [\w-]+)*$/.test(id);
  return isUsable ? id : undefined;
}

const eventLines = fc.array(
  fc.constantFrom(
    'id: 4',
    'id:12',
    'id: ',
    'id: 7x',
    'id: 123456789012345',
    'id: 1234567890123456',
    `id: ${'9'.repeat(256)}`,
    `id: ${'9'.repeat(257)}`,
    'id: 9\r',
    'id',
    'id: two words',
    'id: ends blank ',
    'id: \u0007',
    'idle: 5',
    ': id: 6',
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
        assert.equal(event?.id, findIdNaively(lines));
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
    assert.equal(progress.lastEventId, '4');
  });

  it('decides on the events of another engine as they would be passed', () => {
    const ids = fc.array(fc.integer({min: 1, max: 9}), {minLength: 1});
    fc.assert(
      fc.property(fc.integer({min: 0, max: 5}), ids, (count, nextIds) => {
        const progress = new EventProgress(undefined);
        const known = Array.from({length: count}, (_, at) => at + 1);
        progress.accept(known.map(createEvent));
        const events = nextIds.map(createEvent);
        const {lastEventId} = progress;
        const decided = progress.decideContinuation(events, lastEventId);
        assert.equal(lastEventId, known.at(-1)?.toString());
        progress.setResumedAfter(lastEventId);
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
    const progress = new EventProgress('9');
    assert.equal(progress.accept([createEvent(9)]).newEvents.length, 0);
    assert.equal(progress.accept([createEvent(10)]).newEvents.length, 1);
  });

  // Guards against a stream that starts over within its answer.
  it('passes each event once whatever the form of the ids', () => {
    const offsets = fc.constantFrom(0n, 10n ** 15n, 2n ** 53n, 10n ** 40n);
    const forms = fc.constantFrom<(id: bigint) => string>(
      (id) => `${id}`,
      (id) => `${id}`.padStart(45, '0'),
      (id) => `ev-${id}`,
      (id) => `1764901234567-${id}`,
    );
    const counts = fc.array(fc.integer({min: 0, max: 4}), {minLength: 1});
    fc.assert(
      fc.property(offsets, forms, counts, (offset, form, parts) => {
        const ids = Array.from({length: 40}, (_, at) =>
          form(offset + BigInt(at)),
        );
        const progress = new EventProgress(undefined);
        const passed: string[] = [];
        for (const count of parts) {
          const {lastEventId} = progress;
          progress.setResumedAfter(lastEventId);
          const from = ids.indexOf(lastEventId ?? '') + 1;
          for (const id of ids.slice(from, from + count)) {
            const event = createEvent(id);
            const {newEvents, hasGap} = progress.accept([event]);
            assert.deepEqual([newEvents, hasGap], [[event.bytes], false]);
            passed.push(id);
          }
          progress.markFailover();
        }
        assert.deepEqual(passed, ids.slice(0, passed.length));
        assert.equal(progress.lastEventId, passed.at(-1));
      }),
      RUN_OPTIONS,
    );
  });

  it('cannot resume after data without an id until an event has one', () => {
    const progress = new EventProgress(undefined);
    assert.equal(progress.isResumable, true);
    progress.accept([createEvent(1), createPlainEvent()]);
    assert.equal(progress.isResumable, false);
    progress.accept([createEvent(2)]);
    assert.equal(progress.isResumable, true);
    progress.accept([createPlainEvent()]);
    progress.markFailover();
    for (const event of [createEvent(1), createEvent(3), createPlainEvent()]) {
      const expected = {newEvents: [], hasGap: true};
      assert.deepEqual(progress.accept([event]), expected);
      assert.equal(progress.decideContinuation([event], '2'), 'after-gap');
    }
  });

  // The event may repeat one that the caller has, or follow one that it lacks.
  it('accepts no data without an id after a failover', () => {
    const progress = new EventProgress(undefined);
    progress.accept([createEvent(1)]);
    progress.markFailover();
    assert.equal(progress.accept([createPlainEvent()]).hasGap, true);
  });

  // The caller received events after the one that the attempt resumes after.
  it('accepts ids without an order only after the last event', () => {
    const progress = new EventProgress(undefined);
    progress.accept([createEvent('a'), createEvent('b')]);
    const events = [createEvent('c')];
    assert.equal(progress.decideContinuation(events, 'a'), 'after-gap');
    assert.equal(progress.decideContinuation(events, 'b'), 'next');
    progress.markFailover();
    progress.setResumedAfter('a');
    assert.equal(progress.accept(events).hasGap, true);
    progress.setResumedAfter('b');
    assert.equal(progress.accept(events).hasGap, false);
  });

  it('detects missing events by ids of any length', () => {
    const base = 2n ** 53n;
    const progress = new EventProgress(undefined);
    progress.accept([createEvent(`${base}`), createEvent(`${base + 1n}`)]);
    progress.markFailover();
    assert.equal(progress.accept([createEvent(`${base + 3n}`)]).hasGap, true);
    assert.equal(progress.accept([createEvent(`${base + 2n}`)]).hasGap, false);
  });

  it('passes comments at any time without a change of the position', () => {
    const comment = splitEvent(': ping\n\n');
    const progress = new EventProgress(undefined);
    progress.accept([createEvent(1), comment]);
    assert.equal(progress.isResumable, true);
    progress.markFailover();
    assert.equal(progress.decideContinuation([comment], '1'), 'repeated');
    assert.equal(progress.accept([comment]).newEvents.length, 1);
    assert.equal(progress.accept([createEvent(1)]).newEvents.length, 0);
  });
});
