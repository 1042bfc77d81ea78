/**
 * A failure domain is lost under load: its engines and its hosts die in one
 * moment, and all their answers go on elsewhere at once, beside answers that
 * were not touched, new ones, and small calls.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
  createCallerState,
  createDeployment,
  NAMES,
  readEndpoint,
  sendHttp,
  streamOnce,
  type CallerState,
  type CompletionAsk,
  type Deployment,
} from '@irisdock/testkit';
import {createBench, type ResultRow} from '../bench.js';
import {runNaiveCaller} from '../naive_caller.js';
import {SHAPES, type Shape} from '../shapes.js';
import {computeSpread} from '../statistics.js';

const STEP_MS = 40;
const SLOTS = 16;
const TOKENS = 150;
const LOADS = [0.6, 0.9];
/** Callers begin spread over the length of an answer. */
const WARM_UP_MS = TOKENS * STEP_MS + 2000;
const AFTER_MS = 6000;
const CALLS_PER_SECOND = 40;
const MAX_CONNECTIONS = 20;
/** The users' bound on the time until output goes on. */
const LATE_MS = 3000;

/** What is lost with the domain. */
type Loss = 'engines' | 'engines and hosts' | 'engines, naive';

const LOSSES: readonly Loss[] = [
  'engines',
  'engines and hosts',
  'engines, naive',
];

/** One answer, as its caller saw it. */
interface Played {
  readonly startedAt: number;
  readonly times: readonly number[];
  readonly whole: boolean;
  readonly wasHit: boolean;
}

/** An answer under way. */
interface Current {
  readonly state: CallerState;
  host: string;
  wasHit: boolean;
}

/** A run: when the domain is lost, and what callers saw. */
interface Run {
  readonly deployment: Deployment;
  lostAt: number;
  readonly endAt: number;
  readonly played: Played[];
  readonly current: Set<Current>;
  readonly calls: {readonly at: number; readonly ms: number}[];
  failedCalls: number;
}

function createAsk(caller: number, turn: number): CompletionAsk {
  return {
    model: NAMES.service,
    prompt: `Memorial page ${caller}, part ${turn}. `.repeat(20),
    maxTokens: TOKENS,
    team: NAMES.team,
  };
}

/** Streams one answer, going on elsewhere as long as it takes. */
async function runAnswer(
  run: Run,
  caller: number,
  turn: number,
): Promise<void> {
  const addresses = run.deployment.listAddresses();
  const state = createCallerState();
  const current: Current = {state, host: '', wasHit: false};
  const startedAt = Date.now();
  run.current.add(current);
  for (let at = 0; at < MAX_CONNECTIONS; at++) {
    const host = addresses[(caller + turn + at) % addresses.length] ?? '';
    if (isHostGone(run, host)) continue;
    current.host = host;
    await streamOnce(host, createAsk(caller, turn), state);
    if (state.done) break;
    await sleep(Number(state.retryAfter) * 1000 || 10);
  }
  run.current.delete(current);
  const {times, done: whole} = state;
  run.played.push({startedAt, times, whole, wasHit: current.wasHit});
}

/** Notes which answers under way run in what is lost. */
function markHit(run: Run, lost: ReadonlySet<string>): void {
  for (const current of run.current) {
    const {state, host} = current;
    if (state.ids.length === 0) continue;
    current.wasHit = lost.has(readEndpoint(state)) || lost.has(host);
  }
}

function isHostGone(run: Run, host: string): boolean {
  const daemon = run.deployment.daemons.find((d) => d.places.caller === host);
  return daemon?.process.isExited === true;
}

async function runNaive(run: Run, caller: number, turn: number): Promise<void> {
  const startedAt = Date.now();
  const {engines} = run.deployment;
  const seen = {wasHit: false};
  const naive = await runNaiveCaller(
    engines,
    (caller * 7 + turn) % engines.length,
    NAMES.model,
    createAsk(caller, turn).prompt,
    TOKENS,
    (engine) => {
      seen.wasHit ||= run.lostAt > 0 && engine.process.isExited;
    },
  );
  const {times, orders} = naive;
  const whole = times.length === TOKENS;
  const wasHit = seen.wasHit || (orders > 1 && startedAt < run.lostAt);
  run.played.push({startedAt, times, whole, wasHit});
}

async function runCaller(
  run: Run,
  caller: number,
  callers: number,
  play: typeof runAnswer,
): Promise<void> {
  await sleep((caller * TOKENS * STEP_MS) / callers);
  for (let turn = 0; Date.now() < run.endAt; turn++) {
    await play(run, caller, turn);
  }
}

/** Sends small calls, each to a host that lives. */
async function sendCalls(run: Run): Promise<void> {
  const sent: Promise<void>[] = [];
  for (let at = 0; Date.now() < run.endAt; at++) {
    const live = run.deployment.liveDaemons;
    const host = live[at % live.length]?.places.caller ?? '';
    sent.push(sendCall(run, host));
    await sleep(1000 / CALLS_PER_SECOND);
  }
  await Promise.all(sent);
}

async function sendCall(run: Run, host: string): Promise<void> {
  const at = Date.now();
  const url = `http://${host}/s/${NAMES.plain}/status`;
  const headers = {'x-irisdock-team': NAMES.team};
  try {
    const answer = await sendHttp(url, {headers});
    if (answer.status === 200) run.calls.push({at, ms: Date.now() - at});
    else run.failedCalls++;
  } catch {
    // One that was under way to a host when that died.
    run.failedCalls++;
  }
}

function killDomain(run: Run, loss: Loss): void {
  const {daemons, engines} = run.deployment;
  const domain = daemons.at(-1)?.failureDomain;
  const lostEngines = engines.filter((e) => e.failureDomain === domain);
  const lostHosts = daemons.filter(
    (d) => loss === 'engines and hosts' && d.failureDomain === domain,
  );
  run.lostAt = Date.now();
  for (const {process} of [...lostEngines, ...lostHosts]) {
    process.sendSignal('SIGKILL');
  }
  const lost = [
    ...lostEngines.map((engine) => engine.address),
    ...lostHosts.map((host) => host.places.caller),
  ];
  markHit(run, new Set(lost));
}

function createRow(
  shape: Shape,
  loss: Loss,
  load: number,
  run: Run,
): ResultRow {
  const {lostAt} = run;
  const under = run.played.filter(
    (p) => p.startedAt < lostAt && (p.times.at(-1) ?? 0) >= lostAt - STEP_MS,
  );
  const hit = under.filter((p) => p.wasHit && p.times.length > 0);
  const rest = under.filter((p) => !p.wasHit);
  const fresh = run.played.filter((p) => p.startedAt >= lostAt);
  const gaps = computeSpread(hit.map((p) => findGap(p.times, lostAt)));
  const others = computeSpread(rest.map((p) => findGap(p.times, lostAt)));
  const first = computeSpread(
    fresh.map((p) => (p.times[0] ?? 0) - p.startedAt),
  );
  const before = computeSpread(
    run.calls.filter((c) => c.at < lostAt).map((c) => c.ms),
  );
  const after = computeSpread(
    run.calls.filter((c) => c.at >= lostAt).map((c) => c.ms),
  );
  return {
    shape: shape.name,
    loss,
    load,
    answers: run.played.length,
    whole: run.played.filter((p) => p.whole).length,
    hit: hit.length,
    hitGapMs: gaps.median,
    hitGapP95: gaps.p95,
    hitGapWorst: gaps.worst,
    hitLate: hit.filter((p) => findGap(p.times, lostAt) > LATE_MS).length,
    otherGapP95: others.p95,
    otherGapWorst: others.worst,
    firstP95: first.p95,
    callP95Before: before.p95,
    callP95After: after.p95,
    callWorstAfter: after.worst,
    failedCalls: run.failedCalls,
  };
}

/** Gives the longest gap that ended after a moment. */
function findGap(times: readonly number[], after: number): number {
  let gap = 0;
  for (let at = 1; at < times.length; at++) {
    const time = times[at] ?? 0;
    if (time < after) continue;
    gap = Math.max(gap, time - (times[at - 1] ?? 0));
  }
  return gap;
}

async function measureLoss(
  shape: Shape,
  loss: Loss,
  load: number,
): Promise<ResultRow> {
  const deployment = await createDeployment({
    ...shape.options,
    engineArgs: [
      ...['--engine-step-ms', String(STEP_MS)],
      ...['--engine-slots', String(SLOTS)],
    ],
  });
  try {
    const endAt = Date.now() + WARM_UP_MS + AFTER_MS;
    const run: Run = {
      ...{deployment, lostAt: 0, endAt, failedCalls: 0},
      ...{played: [], current: new Set(), calls: []},
    };
    const callers = Math.round(shape.options.engines * SLOTS * load);
    const play = loss === 'engines, naive' ? runNaive : runAnswer;
    const running = Array.from({length: callers}, (_, at) =>
      runCaller(run, at, callers, play),
    );
    const calls = sendCalls(run);
    await sleep(WARM_UP_MS);
    killDomain(run, loss);
    await Promise.all([...running, calls]);
    return createRow(shape, loss, load, run);
  } finally {
    await deployment.stop();
  }
}

/** The measurement. */
export const DOMAIN_LOSS_BENCH = createBench({
  name: 'domain',
  description: 'a failure domain lost under load, all its answers at once',
  async run(printRow, words) {
    const rows: ResultRow[] = [];
    const shapes = SHAPES.filter((shape) => words.includes(shape.name));
    const losses = LOSSES.filter((loss) => words.includes(loss));
    const loads = LOADS.filter((load) => words.includes(String(load)));
    for (const shape of shapes.length > 0 ? shapes : SHAPES) {
      for (const load of loads.length > 0 ? loads : LOADS) {
        for (const loss of losses.length > 0 ? losses : LOSSES) {
          const row = await measureLoss(shape, loss, load);
          rows.push(row);
          printRow(row);
        }
      }
    }
    return {
      rows,
      notes: [
        `load: callers as a part of the slots before the loss; answers of ${TOKENS} tokens of ${STEP_MS} ms, one after the other`,
        `hit: under way in what was lost; others: under way elsewhere; late: gap over ${LATE_MS} ms; first: first token of answers asked for afterwards`,
        `answers given up are asked for again by their callers when the system says so, up to ${MAX_CONNECTIONS} times`,
      ],
    };
  },
});
