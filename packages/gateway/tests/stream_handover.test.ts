/** The search for the next engine of a stream while its engine is left. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {EngineExclusions} from '../src/serving/engine_exclusions.js';
import {
  StreamHandover,
  type LeavableAttempt,
  type StreamHandoverParts,
} from '../src/serving/stream_handover.js';
import {StreamRetries} from '../src/serving/stream_retries.js';
import {createEndpoint} from './fixtures/endpoints.js';
import {SILENT_LOG} from './fixtures/silent_log.js';
import {VirtualClock} from './fixtures/virtual_clock.js';

/** When the engine ends, in ms. */
const ENDS_AT_MS = 1200;
const MAX_ATTEMPTS = 8;
const STEPS = ['probe', 'take', 'start', 'answer'] as const;

type Step = (typeof STEPS)[number];

/** A stream of a suspected content whose next attempts fail at a step. */
class LeavingStream {
  readonly clock = new VirtualClock();
  /** The next attempts, in their order. */
  readonly trials: {isCancelled: boolean}[] = [];
  /** Retries that were taken from the budget. */
  retriesTaken = 0;
  /** Leases on engines that are held. */
  heldLeases = 0;
  readonly leavable: LeavableAttempt = {
    run: {
      plan: createPlan('first'),
      endSilent: () => undefined,
      findReplica: () => undefined,
    },
    silence: {detail: 'silent', isAnswering: false, hostStallMs: 0},
    isStarted: true,
  };
  readonly retries = this.createRetries();
  readonly handover = new StreamHandover(this.createParts());

  /** @param failuresLeft How often the step throws. */
  constructor(
    private readonly failing: Step,
    private failuresLeft: number,
  ) {}

  private run<T>(step: Step, result?: T): T | undefined {
    if (step !== this.failing || this.failuresLeft-- <= 0) return result;
    throw new Error(`the step ${step} failed`);
  }

  private createRetries(): StreamRetries {
    const takeRetry = (): boolean => {
      this.run('take');
      this.retriesTaken++;
      return true;
    };
    const serving = {
      clock: this.clock,
      crashes: {isRefused: () => false},
      retryBudgets: {
        hasRetry: () => true,
        isCounted: () => true,
        takeRetry,
        tryBorrow: () => undefined,
      },
    };
    const exchange = {signal: new AbortController().signal, startedAt: 0};
    const request = {exchange, callerDeadline: Infinity};
    const route = {
      isResumable: true,
      maxAttempts: MAX_ATTEMPTS,
      timeoutMs: Infinity,
    };
    type Parts = ConstructorParameters<typeof StreamRetries>;
    const sink = {isResumable: true};
    const parts = [serving, request, route, 's', sink];
    return new StreamRetries(...(parts as unknown as Parts));
  }

  private createParts(): StreamHandoverParts {
    const lease = {release: () => this.heldLeases--};
    const serving = {
      clock: this.clock,
      log: SILENT_LOG,
      metrics: {handovers: {inc: () => undefined}},
      paths: {isPartitioned: () => false},
      client: {admit: () => ({kind: 'permit'})},
      crashes: {hasEvidence: () => true, countCrashes: () => 1},
      lostRuns: {isExitCheckNeeded: () => false},
      runLeases: {
        acquire: () => ({kind: 'granted', lease, held: this.heldLeases++}),
      },
    };
    const parts = {
      serving,
      prober: {probe: () => this.run('probe', 'answers')},
      request: {exchange: {signal: new AbortController().signal}},
      planner: {
        exclusions: new EngineExclusions(),
        setReplica: () => undefined,
        pollRemoteEngines: () => undefined,
        choosePlan: () => createPlan('next'),
      },
      retries: this.retries,
      suspect: {admit: () => 'admitted'},
      binding: {isOpenTo: () => true},
      startRun: () => this.run('start', this.createTrial()),
    };
    return parts as unknown as StreamHandoverParts;
  }

  private createTrial(): unknown {
    const trial = {
      isCancelled: false,
      cancel: () => (trial.isCancelled = true),
      waitForAnswer: async () => {
        this.trials.push(trial);
        return Promise.resolve().then(() => this.run('answer', true));
      },
      waitForContinuation: async () => trial.waitForAnswer(),
    };
    return trial;
  }
}

function createPlan(name: string): LeavableAttempt['run']['plan'] {
  const endpoint = createEndpoint(name);
  return {endpoint, backup: undefined, kvCacheSource: undefined};
}

// Guards against streams that are cut, as nothing searches for an engine any
// more after one failure of the host itself.
describe('a stream whose search for the next engine failed', () => {
  for (const step of STEPS) {
    it(`searches again before its engine ends: ${step}`, async () => {
      const stream = new LeavingStream(step, 2);
      stream.handover.startLeaving(stream.leavable, ENDS_AT_MS);
      await stream.clock.run(ENDS_AT_MS - 1);
      assert.ok(stream.handover.hasNext);
      assert.equal(stream.trials.pop()?.isCancelled, false);
      assert.ok(stream.trials.every(({isCancelled}) => isCancelled));
      assert.equal(stream.retries.runs, stream.trials.length);
    });
  }

  // Guards against a busy loop, and against a search that outlives its cause.
  it('searches at growing intervals, until its engine goes on', async () => {
    const stream = new LeavingStream('answer', Infinity);
    stream.handover.start(stream.leavable);
    await stream.clock.run(ENDS_AT_MS);
    assert.equal(stream.trials.length, 4);
    stream.handover.finishSilence();
    await stream.clock.run(ENDS_AT_MS);
    assert.equal(stream.trials.length, 4);
  });

  // Guards against engines that other suspected streams avoid for ever.
  for (const step of ['take', 'start'] as const) {
    it(`holds no lease on an engine: ${step}`, async () => {
      const stream = new LeavingStream(step, Infinity);
      stream.handover.start(stream.leavable);
      await stream.clock.run(ENDS_AT_MS);
      assert.equal(stream.heldLeases, 0);
    });
  }

  // Guards against a retry budget that is spent on attempts that never start,
  // and against a free retry that is left of one.
  it('takes no more retries than attempts that are allowed', async () => {
    const stream = new LeavingStream('start', Infinity);
    stream.handover.start(stream.leavable);
    await stream.clock.run(20 * ENDS_AT_MS);
    assert.equal(stream.retriesTaken, MAX_ATTEMPTS - 1);
    const lost = {kind: 'lost', detail: '', mayHaveRun: true} as const;
    stream.retries.findRetryDenial(lost);
    assert.equal(stream.retriesTaken, MAX_ATTEMPTS);
  });
});
