/**
 * Guards against an answer that must not be continued elsewhere and ends as its
 * connection breaks a few times, though its engine keeps the generation.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {startAnswer, waitFor} from './fixtures/driven_answer.js';
import {MemoryEngine} from './fixtures/memory_engine.js';

/** Tokens before the connection breaks, and of the whole answer. */
const BEFORE = 3;
const WHOLE = 6;
/** Streams whose connection breaks, one after the other. */
const BROKEN_STREAMS = 4;

describe('an answer whose connection breaks repeatedly', () => {
  it(
    'is attached to until its engine goes on',
    {timeout: 10_000},
    async (t) => {
      const engine = new MemoryEngine('a');
      engine.handleStream = (stream) => {
        const {length} = engine.streams;
        if (length === 1) return;
        if (length <= BROKEN_STREAMS) {
          stream.dropConnection();
          return;
        }
        stream.sendTokens(BEFORE, WHOLE - BEFORE);
        stream.sendEnd(WHOLE);
      };
      const answer = startAnswer([engine], {continuation: 'never'});
      t.after(() => {
        answer.closeCaller();
      });
      await waitFor(() => engine.streams.length > 0);
      engine.streams[0]?.sendTokens(0, BEFORE);
      await waitFor(() => answer.sink.tokens.length === BEFORE);
      engine.streams[0]?.dropConnection();
      assert.equal(await answer.outcome, 'ended', answer.sink.error?.message);
      assert.equal(answer.sink.tokens.length, WHOLE);
      const [first, ...others] = engine.streams.map(({order}) => order.mode);
      assert.equal(first, 'start');
      assert.ok(others.every((mode) => mode === 'attach'));
    },
  );
});
