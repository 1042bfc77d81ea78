/** Guards against answers that are cut or mixed while a silent engine is left. */
import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  startAnswer,
  waitFor,
  type AnswerOptions,
  type DrivenAnswer,
} from './fixtures/driven_answer.js';
import {MemoryEngine, type MemoryStream} from './fixtures/memory_engine.js';
import {pauseProcess} from './fixtures/paused_process.js';

/** The time limit of a test. */
const LIMIT = {timeout: 5000};
/** Tokens before the first engine falls silent, and of the whole answer. */
const BEFORE = 3;
const WHOLE = 6;
/** Exceeds the time until a silence is noticed, in ms. */
const SILENCE_MS = 200;

/** Exceeds the time in which two engines run one answer, in ms. */
const PAUSE_MS = 600;
const ANSWERS: DrivenAnswer[] = [];

interface SilentAnswer {
  readonly answer: DrivenAnswer;
  readonly silent: MemoryStream;
  /** The engine whose turn is next. */
  readonly next: MemoryEngine;
  readonly engines: readonly MemoryEngine[];
}

interface SilenceOptions extends AnswerOptions {
  /** Sets the engines other than the one that falls silent. */
  readonly set?: (engine: MemoryEngine) => void;
}

/** Starts an answer whose engine answers nothing after a few tokens. */
async function startSilentAnswer({
  set,
  ...options
}: SilenceOptions = {}): Promise<SilentAnswer> {
  const first = new MemoryEngine('a');
  const next = new MemoryEngine('b');
  const engines = [first, next, new MemoryEngine('c')];
  for (const engine of engines.slice(1)) set?.(engine);
  const answer = startAnswer(engines, options);
  ANSWERS.push(answer);
  const silent = await waitForNext(first);
  silent.sendTokens(0, BEFORE);
  first.isAnswering = false;
  return {answer, silent, next, engines};
}

/** Sends the rest of the answer. */
function endStream(stream: MemoryStream): void {
  stream.sendTokens(BEFORE, WHOLE - BEFORE);
  stream.sendEnd(WHOLE);
}

/** Formats the text of which the named engines have each sent one token. */
function formatText(names: string): string {
  let text = '';
  for (let at = 0; at < names.length; at++) text += `${names.charAt(at)}${at} `;
  return text;
}

async function checkAnswer(answer: DrivenAnswer, names: string): Promise<void> {
  assert.equal(await answer.outcome, 'ended', answer.sink.error?.message);
  const text = answer.sink.tokens.map((token) => token.text).join('');
  assert.equal(text, formatText(names));
}

async function checkStays(started: SilentAnswer): Promise<void> {
  const {answer, silent, engines} = started;
  endStream(silent);
  await checkAnswer(answer, 'aaaaaa');
  assert.equal(engines[0]?.streams.length, 1);
}

const FAILURES: readonly {
  readonly name: string;
  readonly set: (next: MemoryEngine) => void;
}[] = [
  {
    name: 'refuses it as full',
    set: (next) => {
      next.refusal = 'endpoint_full';
    },
  },
  {
    name: 'answers an error',
    set: (next) => {
      next.refusal = 'endpoint_bad_answer';
    },
  },
  {
    name: 'cuts it before its first token',
    set: (next) => {
      next.handleStream = (stream) => {
        stream.dropConnection();
      };
    },
  },
  {
    name: 'leaves tokens out',
    set: (next) => {
      next.handleStream = (stream) => {
        stream.sendTokens(BEFORE + 1, 1);
      };
    },
  },
];

/** Microtasks between the tokens of both engines. */
const DELAYS = [0, 1, 2, 3, 4, 5, 6, 8, 12];

async function runMicrotasks(count: number): Promise<void> {
  for (let at = 0; at < count; at++) await Promise.resolve();
}

/** Waits until the next engine has been sent the answer. */
async function waitForNext({streams}: MemoryEngine): Promise<MemoryStream> {
  await waitFor(() => streams.length > 0);
  const [stream] = streams;
  assert.ok(stream !== undefined);
  return stream;
}

/** Lets one engine send the next token, and soon after it the other one. */
async function runRace(
  isSilentFirst: boolean,
  microtasks: number,
): Promise<void> {
  const {answer, silent, next, engines} = await startSilentAnswer();
  const other = await waitForNext(next);
  const [earlier, later] = isSilentFirst ? [silent, other] : [other, silent];
  earlier.sendTokens(BEFORE, 1);
  await runMicrotasks(microtasks);
  later.sendTokens(BEFORE, 1);
  await sleep(1);
  for (const stream of [earlier, later]) {
    stream.sendTokens(BEFORE + 1, WHOLE - BEFORE - 1);
    stream.sendEnd(WHOLE);
  }
  assert.equal(await answer.outcome, 'ended', answer.sink.error?.message);
  const text = answer.sink.tokens.map((token) => token.text).join('');
  const isKept = text === formatText('aaaaaa');
  assert.equal(text, formatText(isKept ? 'aaaaaa' : 'aaabbb'));
  const [loser, loserEngine] = isKept ? [other, next] : [silent, engines[0]];
  assert.ok(loser.isClosed);
  assert.ok(loserEngine !== undefined);
  assert.ok(Math.max(...loserEngine.cancelledBelow) > loser.order.generation);
}

describe('the answer of a silent engine', () => {
  afterEach(() => {
    for (const answer of ANSWERS.splice(0)) answer.closeCaller();
  });

  for (const {name, set} of FAILURES) {
    it(
      `stays there if the next engine ${name} and no retry is left`,
      LIMIT,
      async () => {
        const started = await startSilentAnswer({set, hasOneRetry: true});
        await waitForNext(started.next);
        await checkStays(started);
      },
    );

    it(`stays there if each other engine ${name}`, LIMIT, async () => {
      const started = await startSilentAnswer({set});
      for (const engine of started.engines.slice(1)) await waitForNext(engine);
      await checkStays(started);
    });
  }

  it('goes on at the engine after one that fails it', LIMIT, async () => {
    const {answer, silent, engines} = await startSilentAnswer({
      set: (engine) => {
        if (engine.name === 'b') engine.refusal = 'endpoint_bad_answer';
        else engine.handleStream = endStream;
      },
    });
    await checkAnswer(answer, 'aaaccc');
    assert.ok(silent.isClosed);
    assert.equal(engines[0]?.cancelledBelow.length, 1);
  });

  it(
    'goes on at the next engine if that one brings the next token',
    LIMIT,
    async () => {
      const {answer, silent, next} = await startSilentAnswer();
      const stream = await waitForNext(next);
      assert.ok(!silent.isClosed);
      assert.ok(stream.order.generation > silent.order.generation);
      endStream(stream);
      await checkAnswer(answer, 'aaabbb');
    },
  );

  it(
    'is cancelled at the next engine once its own goes on',
    LIMIT,
    async () => {
      const {answer, silent, next} = await startSilentAnswer();
      const stream = await waitForNext(next);
      silent.sendTokens(BEFORE, 1);
      await waitFor(() => answer.sink.tokens.length > BEFORE);
      assert.ok(stream.isClosed);
      assert.deepEqual(next.cancelledBelow, [stream.order.generation + 1]);
      silent.sendTokens(BEFORE + 1, WHOLE - BEFORE - 1);
      silent.sendEnd(WHOLE);
      await checkAnswer(answer, 'aaaaaa');
    },
  );

  it('is not mixed with that of the next engine', LIMIT, async () => {
    for (const isSilentFirst of [true, false]) {
      for (const delay of DELAYS) await runRace(isSilentFirst, delay);
    }
  });

  it('leaves it for one that brings nothing for a while', LIMIT, async () => {
    const {answer, silent, next} = await startSilentAnswer();
    const stream = await waitForNext(next);
    await waitFor(() => silent.isClosed);
    endStream(stream);
    await checkAnswer(answer, 'aaabbb');
  });

  it(
    'stays there if its token arrived while this process stood still',
    LIMIT,
    async () => {
      const {answer, silent, next} = await startSilentAnswer();
      await waitForNext(next);
      // Like a socket that is read after the timers of the next iteration.
      setImmediate(() => {
        pauseProcess(PAUSE_MS);
        setImmediate(() => {
          endStream(silent);
        });
      });
      await checkAnswer(answer, 'aaaaaa');
    },
  );

  it(
    'goes on at the next engine when its connection breaks',
    LIMIT,
    async () => {
      const {answer, silent, next} = await startSilentAnswer();
      const stream = await waitForNext(next);
      silent.dropConnection();
      endStream(stream);
      await checkAnswer(answer, 'aaabbb');
      assert.equal(next.streams.length, 1);
    },
  );

  it(
    'ends everywhere when its caller leaves while two run',
    LIMIT,
    async () => {
      const {answer, silent, next} = await startSilentAnswer();
      const stream = await waitForNext(next);
      answer.closeCaller();
      assert.equal(await answer.outcome, 'stopped');
      assert.ok(silent.isClosed && stream.isClosed);
      assert.deepEqual(next.cancelledBelow, [stream.order.generation + 1]);
      assert.equal(answer.record.endpoint, 'a');
      assert.equal(answer.record.generation, silent.order.generation);
    },
  );

  it('is abandoned if another host has taken it over', LIMIT, async () => {
    const {answer, engines} = await startSilentAnswer({
      set: (engine) => {
        engine.refusal = 'endpoint_superseded';
      },
    });
    assert.equal(await answer.outcome, 'superseded');
    assert.deepEqual(
      engines.map(({streams}) => streams.length),
      [1, 1, 0],
    );
  });

  it('is not sent elsewhere if it must not be continued', LIMIT, async () => {
    const {answer, silent, engines} = await startSilentAnswer({
      continuation: 'never',
    });
    await sleep(SILENCE_MS);
    endStream(silent);
    await checkAnswer(answer, 'aaaaaa');
    assert.deepEqual(
      engines.map(({streams}) => streams.length),
      [1, 0, 0],
    );
  });
});
