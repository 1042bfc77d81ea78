/** Events cut from bytes, and how far a stream has come. */
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
      cuts: fc.array(fc.nat(Math.max(1, whole.length))),
    });
  });

describe('an event splitter', () => {
  it('gives the same events wherever the bytes are cut', () => {
    fc.assert(
      fc.property(texts, ({text, cuts}) => {
        const splitter = new EventSplitter();
        const given: string[] = [];
        const points = [0, ...cuts.sort((a, b) => a - b), text.length];
        for (const [at, from] of points.entries()) {
          const part = text.slice(from, points[at + 1] ?? text.length);
          for (const {bytes} of splitter.add(Buffer.from(part))) {
            given.push(bytes.toString());
          }
        }
        assert.deepEqual(given, splitEventsNaively(text));
        const rest = text.length - given.join('').length;
        assert.equal(splitter.pendingBytes, rest);
      }),
      RUN_OPTIONS,
    );
  });

  it('reads ids, also with other line ends', () => {
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
  it('is what the whole event says, wherever its line stands', () => {
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

describe('the progress of a stream', () => {
  it('lets each event through once and in order', () => {
    fc.assert(
      fc.property(fc.array(fc.integer({min: 1, max: 30})), (ids) => {
        const progress = new EventProgress(undefined);
        const passed: number[] = [];
        for (const id of ids) {
          const {newEvents: fresh} = progress.accept([createEvent(id)]);
          if (fresh.length > 0) passed.push(id);
        }
        const rising = [...new Set(passed)].sort((a, b) => a - b);
        assert.deepEqual(passed, rising);
      }),
      RUN_OPTIONS,
    );
  });

  it('finds events that are missing after a loss', () => {
    const progress = new EventProgress(undefined);
    progress.accept([createEvent(1), createEvent(2), createEvent(3)]);
    progress.markFailover();
    const repeated = progress.accept([createEvent(2), createEvent(3)]);
    assert.deepEqual(repeated, {newEvents: [], hasGap: false});
    assert.equal(progress.accept([createEvent(5)]).hasGap, true);
    assert.equal(progress.accept([createEvent(4)]).hasGap, false);
    assert.equal(progress.lastEventId, 4);
  });

  it('starts after the event that the caller has', () => {
    const progress = new EventProgress(9);
    assert.equal(progress.accept([createEvent(9)]).newEvents.length, 0);
    assert.equal(progress.accept([createEvent(10)]).newEvents.length, 1);
  });
});
