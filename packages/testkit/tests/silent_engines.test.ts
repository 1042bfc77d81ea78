/**
 * An engine that is silent for a while, and then goes on, does not end answers
 * that no other engine may or can continue.
 */
import assert from 'node:assert/strict';
import {after, before, beforeEach, describe, it} from 'node:test';
import {
  BASE_RESOURCES,
  checkWholeAnswer,
  createAsk,
  createDeployment,
  NAMES,
  readEndpoint,
  streamWhole,
  type CallerState,
  type Deployment,
  type EndpointNode,
} from '@irisdock/testkit';

/** Exceeds the time until a silence is noticed, in ms. */
const SILENCE_MS = 1500;
/** Exceeds the longest gap of a stream whose engine answers, in ms. */
const STALL_MS = 4000;
const STEP_MS = 10;
/** The tokens after which an engine falls silent. */
const TOKENS_BEFORE = 20;

/** Makes an engine silent; returns what ends the silence. */
type SilenceStart = (
  deployment: Deployment,
  engine: EndpointNode,
) => Promise<() => Promise<void>>;

interface Silence {
  readonly name: string;
  readonly ms: number;
  /** Runs elsewhere though all engines are silent in the same way. */
  readonly maxContinues: number;
  readonly start: SilenceStart;
}

const SILENCES: readonly Silence[] = [
  {
    name: 'an engine that answers nothing',
    ms: SILENCE_MS,
    maxContinues: 0,
    start: (_deployment, {process}) => {
      process.sendSignal('SIGSTOP');
      return Promise.resolve(() => {
        process.sendSignal('SIGCONT');
        return Promise.resolve();
      });
    },
  },
  {
    name: 'an engine that answers but generates nothing',
    ms: STALL_MS,
    // That the other one generates nothing is known once an answer runs there.
    maxContinues: 1,
    start: async (deployment, engine) => {
      await deployment.setFaults(engine, {stall: true});
      return () => deployment.setFaults(engine, {stall: false});
    },
  },
];

/** Chooses the engines that fall silent, given the one that runs the answer. */
type ChooseSilent = (
  deployment: Deployment,
  running: EndpointNode,
) => readonly EndpointNode[];

/** Streams an answer amid which engines are silent for a while. */
async function streamOverSilence(
  deployment: Deployment,
  {start, ms}: Silence,
  chooseSilent: ChooseSilent = (_deployment, running) => [running],
): Promise<CallerState> {
  let silence: Promise<void> | undefined;
  const runSilence = async (running: EndpointNode): Promise<void> => {
    const engines = chooseSilent(deployment, running);
    const ends = await Promise.all(
      engines.map((engine) => start(deployment, engine)),
    );
    await new Promise((resolve) => setTimeout(resolve, ms));
    for (const end of ends) await end();
  };
  const state = await streamWhole(
    deployment.listAddresses(),
    createAsk({repeatable: false}),
    (now) => {
      if (now.ids.length !== TOKENS_BEFORE) return;
      const engine = deployment.findEngine(readEndpoint(now));
      silence = runSilence(engine);
    },
  );
  await silence;
  return state;
}

describe('a silence of an engine does not end an answer', () => {
  for (const silence of SILENCES) {
    describe(`of ${silence.name}`, () => {
      let deployment: Deployment;

      before(async () => {
        deployment = await createDeployment({
          daemons: 1,
          engines: 2,
          engineArgs: ['--engine-step-ms', String(STEP_MS)],
        });
      });
      beforeEach(async () => {
        await deployment.addEnginesUntil(2);
      });
      after(async () => {
        await deployment.stop();
      });

      it('that must not be continued elsewhere', async () => {
        await declareContinuation(deployment, 'never');
        const state = await streamOverSilence(deployment, silence);
        checkWholeAnswer(state);
        const runs = await deployment.countRuns(state.requestId);
        assert.deepEqual([runs.starts, runs.continues], [1, 0]);
      });

      it('though all engines are silent', async () => {
        await declareContinuation(deployment, 'allowed');
        const state = await streamOverSilence(
          deployment,
          silence,
          ({engines}) => engines,
        );
        checkWholeAnswer(state);
        const runs = await deployment.countRuns(state.requestId);
        assert.equal(runs.starts, 1);
        assert.ok(runs.continues <= silence.maxContinues);
      });
    });
  }
});

/** Declares whether answers may be continued on another engine. */
async function declareContinuation(
  deployment: Deployment,
  continuation: 'allowed' | 'never',
): Promise<void> {
  const service = BASE_RESOURCES.find(({name}) => name === NAMES.service);
  assert.ok(service !== undefined);
  const spec = {...service.spec, continuation};
  const [answer] = await deployment.declare([{...service, spec}]);
  assert.equal(answer?.status, 200, answer?.text);
}
