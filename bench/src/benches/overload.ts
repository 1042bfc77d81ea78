/**
 * Twice as many generations as can be served, beside small calls to a plain
 * service: what is still served, how soon the rest is refused, and what the
 * small calls notice. With processes.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
  createDeployment,
  NAMES,
  sendHttp,
  streamWhole,
  type Deployment,
} from '@irisdock/testkit';
import {createBench, type ResultRow} from '../bench.js';
import {computeSpread, formatNumber} from '../statistics.js';

const RUN_MS = 12_000;
const ENGINES = 4;
const SLOTS = 8;
const STEP_MS = 10;
const TOKENS = 50;
const CAPACITY = (ENGINES * SLOTS * 1000) / (STEP_MS * (TOKENS + 1));
const CALLS_PER_SECOND = 50;

interface Tally {
  served: number;
  refused: number;
  lost: number;
  readonly refusalMs: number[];
  readonly callMs: number[];
}

async function sendGeneration(
  deployment: Deployment,
  at: number,
  tally: Tally,
): Promise<void> {
  const addresses = deployment.listAddresses();
  const startedAt = Date.now();
  const state = await streamWhole([addresses[at % addresses.length] ?? ''], {
    model: NAMES.service,
    prompt: `Caption number ${at}. `,
    maxTokens: TOKENS,
    team: NAMES.team,
  });
  if (state.done) tally.served++;
  else if (state.status === 503 || state.status === 429) {
    tally.refused++;
    tally.refusalMs.push(Date.now() - startedAt);
  } else tally.lost++;
}

async function sendCall(
  deployment: Deployment,
  at: number,
  tally: Tally,
): Promise<void> {
  const addresses = deployment.listAddresses();
  const startedAt = Date.now();
  const address = addresses[at % addresses.length] ?? '';
  const answer = await sendHttp(`http://${address}/s/${NAMES.plain}/status`, {
    headers: {'x-irisdock-team': NAMES.team},
  });
  if (answer.status === 200) tally.callMs.push(Date.now() - startedAt);
}

async function sendAt(
  perSecond: number,
  send: (at: number) => Promise<void>,
): Promise<void> {
  const sent: Promise<void>[] = [];
  const endAt = Date.now() + RUN_MS;
  const startAt = Date.now();
  for (let at = 0; perSecond > 0 && Date.now() < endAt; at++) {
    sent.push(send(at));
    const dueAt = startAt + ((at + 1) * 1000) / perSecond;
    await sleep(Math.max(0, dueAt - Date.now()));
  }
  await Promise.all(sent);
}

async function measureLoad(
  deployment: Deployment,
  factor: number,
): Promise<ResultRow> {
  const refusalMs: number[] = [];
  const callMs: number[] = [];
  const tally: Tally = {served: 0, refused: 0, lost: 0, refusalMs, callMs};
  await Promise.all([
    sendAt(CAPACITY * factor, (at) => sendGeneration(deployment, at, tally)),
    sendAt(CALLS_PER_SECOND, (at) => sendCall(deployment, at, tally)),
  ]);
  const calls = computeSpread(callMs);
  const refusals = computeSpread(refusalMs);
  return {
    load: `${factor} x capacity`,
    servedPerSecond: formatNumber((tally.served * 1000) / RUN_MS, 1),
    refused: tally.refused,
    lost: tally.lost,
    refusalMsMedian: refusals.median,
    refusalMsP95: refusals.p95,
    callMsMedian: calls.median,
    callMsP95: calls.p95,
    callMsWorst: calls.worst,
    calls: callMs.length,
  };
}

/** The measurement. */
export const OVERLOAD_BENCH = createBench({
  name: 'overload',
  description: 'up to three times the capacity, beside small calls',
  async run() {
    const deployment = await createDeployment({
      daemons: 4,
      engines: ENGINES,
      plains: 2,
      engineArgs: [
        ...['--engine-step-ms', String(STEP_MS)],
        ...['--engine-slots', String(SLOTS)],
      ],
    });
    try {
      const rows: ResultRow[] = [];
      for (const factor of [0, 0.8, 2, 3]) {
        rows.push(await measureLoad(deployment, factor));
      }
      return {
        rows,
        notes: [
          `capacity ${formatNumber(CAPACITY, 1)} generations a second: ${ENGINES} engines of ${SLOTS} slots, ${TOKENS} tokens of ${STEP_MS} ms`,
          `${CALLS_PER_SECOND} plain calls a second throughout`,
        ],
      };
    } finally {
      await deployment.stop();
    }
  },
});
