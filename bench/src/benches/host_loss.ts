/**
 * How long a lost host is still given to callers, and how long a caller with
 * a request bound to it waits for its final answer: `at most once` says
 * "outcome unknown" only once the owner is known to be dead.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
  createAsk,
  createCallerState,
  createDeployment,
  createIdOf,
  getStateSeen,
  streamOnce,
  type DaemonNode,
  type Deployment,
} from '@irisdock/testkit';
import {createBench, type ResultRow} from '../bench.js';
import {computeSpread} from '../statistics.js';

const HOSTS = 8;
const ROUNDS = 6;
const ASK_AGAIN_MS = 20;
const GIVE_UP_MS = 20_000;

type Loss = 'frozen' | 'killed';

const LOSSES: readonly Loss[] = ['killed', 'frozen'];

interface Sample {
  /** Until another host's address answers leave the lost one out. */
  readonly leftOutMs: number;
  /** Until another host says that the outcome is unknown. */
  readonly answeredMs: number;
}

async function measureUntil(
  begunAt: number,
  isMet: () => Promise<boolean>,
): Promise<number> {
  while (Date.now() - begunAt < GIVE_UP_MS) {
    if (await isMet()) break;
    await sleep(ASK_AGAIN_MS);
  }
  return Date.now() - begunAt;
}

async function isLeftOut(
  asked: DaemonNode,
  lost: DaemonNode,
): Promise<boolean> {
  return (await getStateSeen(asked, lost)) !== 'live';
}

async function isAnswered(
  asked: DaemonNode,
  requestId: string,
): Promise<boolean> {
  const state = createCallerState();
  const ask = createAsk({requestId, repeatable: false});
  await streamOnce(asked.places.caller, ask, state);
  return state.status !== 307;
}

async function measureLoss(
  deployment: Deployment,
  loss: Loss,
): Promise<Sample> {
  const lost = deployment.getDaemon(HOSTS - 1);
  const asked = deployment.getDaemon(0);
  const requestId = await createIdOf(lost);
  const begunAt = Date.now();
  lost.process.sendSignal(loss === 'frozen' ? 'SIGSTOP' : 'SIGKILL');
  const [leftOutMs, answeredMs] = await Promise.all([
    measureUntil(begunAt, () => isLeftOut(asked, lost)),
    measureUntil(begunAt, () => isAnswered(asked, requestId)),
  ]);
  await lost.process.kill();
  deployment.daemons.pop();
  await deployment.addDaemon();
  await deployment.publishHosts();
  await deployment.waitReady();
  return {leftOutMs, answeredMs};
}

function createRow(loss: Loss, samples: readonly Sample[]): ResultRow {
  const leftOut = computeSpread(samples.map((sample) => sample.leftOutMs));
  const answered = computeSpread(samples.map((sample) => sample.answeredMs));
  return {
    loss,
    hosts: HOSTS,
    times: samples.length,
    leftOutMs: leftOut.median,
    leftOutWorstMs: leftOut.worst,
    answeredMs: answered.median,
    answeredWorstMs: answered.worst,
  };
}

/** The measurement. */
export const HOST_LOSS_BENCH = createBench({
  name: 'hosts',
  description: 'how soon a lost host is left out and its requests answered',
  async run(printRow) {
    const rows: ResultRow[] = [];
    const deployment = await createDeployment({daemons: HOSTS, engines: 2});
    try {
      for (const loss of LOSSES) {
        const samples: Sample[] = [];
        for (let round = 0; round < ROUNDS; round++) {
          samples.push(await measureLoss(deployment, loss));
        }
        const row = createRow(loss, samples);
        rows.push(row);
        printRow(row);
      }
    } finally {
      await deployment.stop();
    }
    return {
      rows,
      notes: [
        'left out: another host counts it as live no more, so its address answers name it no more',
        'answered: a request bound to it, not repeatable, gets its final answer from another host',
      ],
    };
  },
});
