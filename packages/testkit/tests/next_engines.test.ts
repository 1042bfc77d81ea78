/**
 * Answers whose sound engine falls silent for a while, and goes on, beside an
 * engine that answers probes but does not continue them. Such an answer stays
 * at its own engine.
 */
import assert from 'node:assert/strict';
import {after, before, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  checkWholeAnswer,
  createAsk,
  createDeployment,
  getJson,
  readEndpoint,
  streamWhole,
  type Deployment,
  type EndpointNode,
  type EngineCounts,
} from '@irisdock/testkit';

const STEP_MS = 10;
/** The tokens after which the engine falls silent. */
const TOKENS_BEFORE = 20;
/** Leaves time to set the engines before the answer ends. */
const TOKENS = 200;

interface Silence {
  readonly name: string;
  /** Exceeds the time until the silence is noticed, in ms. */
  readonly ms: number;
  /** Makes an engine silent; returns what ends the silence. */
  readonly start: (
    deployment: Deployment,
    engine: EndpointNode,
  ) => Promise<() => Promise<void>>;
}

const SILENCES: readonly Silence[] = [
  {
    name: 'answers nothing',
    ms: 1200,
    start: (_deployment, {process}) => {
      process.sendSignal('SIGSTOP');
      return Promise.resolve(() => {
        process.sendSignal('SIGCONT');
        return Promise.resolve();
      });
    },
  },
  {
    name: 'generates nothing',
    ms: 2500,
    start: async (deployment, engine) => {
      await deployment.setFaults(engine, {stall: true});
      return () => deployment.setFaults(engine, {stall: false});
    },
  },
];

const NEXT_ENGINES: readonly {
  readonly name: string;
  readonly streams: string;
}[] = [
  {name: 'refuses it as full', streams: 'refuse'},
  {name: 'answers 500', streams: 'fail'},
  {name: 'resets its connection', streams: 'reset'},
  {name: 'cuts it before its first token', streams: 'cut'},
];

/** Counts the runs of a request that an engine has begun. */
async function countBegun(
  {address}: EndpointNode,
  requestId: string,
): Promise<number> {
  const url = `http://${address}/control/counts`;
  const counts = (await getJson<Record<string, EngineCounts>>(url))[requestId];
  assert.ok(counts !== undefined);
  return counts.starts + counts.continues;
}

describe('an answer whose engine is silent for a while', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await createDeployment({
      daemons: 1,
      engines: 2,
      engineArgs: ['--engine-step-ms', String(STEP_MS)],
    });
  });
  beforeEach(async () => {
    for (const engine of deployment.engines) {
      await deployment.setFaults(engine, {streams: 'accept'});
    }
    await deployment.waitReady();
  });
  after(async () => {
    await deployment.stop();
  });

  for (const silence of SILENCES) {
    for (const {name, streams} of NEXT_ENGINES) {
      it(`is whole though the next engine ${name}, and it ${silence.name}`, async () => {
        const sentBefore = await countOrders(deployment);
        let running: EndpointNode | undefined;
        let begunBefore: Promise<number> | undefined;
        let silent: Promise<void> | undefined;
        const runSilence = async (engine: EndpointNode): Promise<void> => {
          await begunBefore;
          for (const next of deployment.engines) {
            if (next !== engine) await deployment.setFaults(next, {streams});
          }
          const end = await silence.start(deployment, engine);
          await sleep(silence.ms);
          await end();
        };
        const state = await streamWhole(
          deployment.listAddresses(),
          createAsk({maxTokens: TOKENS}),
          (now) => {
            if (now.ids.length !== TOKENS_BEFORE) return;
            running = deployment.findEngine(readEndpoint(now));
            begunBefore = countBegun(running, now.requestId);
            silent = runSilence(running);
          },
        );
        await silent;
        checkWholeAnswer(state, TOKENS);
        assert.ok(running !== undefined);
        const begun = await countBegun(running, state.requestId);
        assert.equal(begun, await begunBefore);
        // The next engine was sent the answer; it was not merely left out.
        assert.ok((await countOrders(deployment)) - sentBefore > 1);
      });
    }
  }
});

function countOrders(deployment: Deployment): Promise<number> {
  return deployment.readMetric('irisdock_streams_orders_total');
}
