/**
 * Resume latency and extra resource use per kind of failure, at the shape of
 * both deployments, beside an undisturbed run and the naive way.
 */
import {
  createCallerState,
  createDeployment,
  NAMES,
  streamOnce,
  type CallerState,
  type CompletionAsk,
  type Deployment,
} from '@irisdock/testkit';
import {createBench, type ResultRow} from '../bench.js';
import {FAILURE_KINDS, type FailureKind} from '../failure_kinds.js';
import {runNaiveCaller} from '../naive_caller.js';
import {SHAPES, type Shape} from '../shapes.js';
import {computeSpread, formatNumber} from '../statistics.js';

const TOKENS = 60;
const FAIL_AT = 20;
/** Answers that fail at once: few of the hosts and engines. */
const PARALLEL = 3;
const ROUNDS = 4;
const FAILING_HOSTS = 2;
const STYLE_SHEET = 'Plain words and short lines, names as registered. ';
/** A caller's own patience with a silent host, in milliseconds. */
const CALLER_PATIENCE_MS = 2000;

interface Sample {
  readonly gapMs: number;
  readonly redone: number;
  readonly orders: number;
  readonly whole: boolean;
}

function createPrompt(at: number): string {
  return STYLE_SHEET.repeat(30) + `Material of student ${at}. `.repeat(10);
}

function createAsk(at: number): CompletionAsk {
  return {
    model: NAMES.service,
    prompt: createPrompt(at),
    maxTokens: TOKENS,
    team: NAMES.team,
  };
}

function findGap(times: readonly number[]): number {
  let gap = 0;
  for (let at = FAIL_AT; at < times.length; at++) {
    gap = Math.max(gap, (times[at] ?? 0) - (times[at - 1] ?? 0));
  }
  return gap;
}

async function runOne(
  deployment: Deployment,
  kind: FailureKind,
  at: number,
): Promise<CallerState> {
  const addresses = deployment.liveDaemons.map((d) => d.places.caller);
  const state = createCallerState();
  let hasFailed = false;
  for (let turn = 0; turn < addresses.length && !state.done; turn++) {
    const host = chooseHost(addresses, kind, at, turn);
    const patience = startPatience(kind);
    await Promise.race([
      streamOnce(host, createAsk(at), state, (now) => {
        patience.start();
        if (patience.isOver) return true;
        if (hasFailed || now.ids.length !== FAIL_AT) return false;
        hasFailed = true;
        kind.start(deployment, now, host);
        return false;
      }),
      patience.over,
    ]);
    patience.stop();
  }
  return state;
}

/** Hosts that fail are the first few; callers go on at the others. */
function chooseHost(
  addresses: readonly string[],
  kind: FailureKind,
  at: number,
  turn: number,
): string {
  if (kind.movesHost !== true) {
    return addresses[(at + turn) % addresses.length] ?? '';
  }
  if (turn === 0) return addresses[at % FAILING_HOSTS] ?? '';
  const others = addresses.slice(FAILING_HOSTS);
  return others[(at + turn) % others.length] ?? '';
}

/** Counts what an answer cost; frozen engines must run again by then. */
async function createSample(
  deployment: Deployment,
  state: CallerState,
): Promise<Sample> {
  const counts = await deployment.countRuns(state.requestId);
  const byLive = countByLive(deployment, state);
  return {
    gapMs: findGap(state.times),
    redone: Math.max(0, counts.tokens - byLive),
    orders: counts.starts + counts.continues + counts.attaches,
    whole: state.done && state.ids.length === TOKENS,
  };
}

/** A caller's patience with one host; endless unless hosts fail. */
function startPatience(kind: FailureKind): {
  readonly over: Promise<void>;
  readonly isOver: boolean;
  start(): void;
  stop(): void;
} {
  let timer: NodeJS.Timeout | undefined;
  let end: () => void = () => undefined;
  const over = new Promise<void>((resolve) => {
    end = resolve;
  });
  const patience = {
    over,
    isOver: false,
    start: (): void => {
      clearTimeout(timer);
      if (kind.movesHost !== true) return;
      timer = setTimeout(() => {
        patience.isOver = true;
        end();
      }, CALLER_PATIENCE_MS);
    },
    stop: (): void => {
      clearTimeout(timer);
    },
  };
  patience.start();
  return patience;
}

/** Tokens of the answer that engines made which still run. */
function countByLive(deployment: Deployment, state: CallerState): number {
  let count = 0;
  for (const engine of deployment.liveEngines) {
    count += state.text.split(`.${engine.name}.`).length - 1;
  }
  return count;
}

async function startLost(deployment: Deployment, shape: Shape): Promise<void> {
  for (const engine of deployment.engines) {
    engine.process.sendSignal('SIGCONT');
    if (engine.process.isExited) continue;
    await deployment.setFaults(engine, {stall: false, skip: 0});
  }
  for (const daemon of deployment.daemons) {
    daemon.process.sendSignal('SIGCONT');
  }
  const live = deployment.liveDaemons;
  deployment.daemons.splice(0, deployment.daemons.length, ...live);
  while (deployment.daemons.length < shape.options.daemons) {
    await deployment.addDaemon();
  }
  await deployment.addEnginesUntil(shape.options.engines);
}

async function measureKind(
  deployment: Deployment,
  shape: Shape,
  kind: FailureKind,
  rounds: number,
): Promise<ResultRow> {
  const samples: Sample[] = [];
  for (let round = 0; round < rounds; round++) {
    const runs = Array.from({length: PARALLEL}, (_, at) =>
      runOne(deployment, kind, round * PARALLEL + at),
    );
    const states = await Promise.all(runs);
    for (const engine of deployment.engines) {
      engine.process.sendSignal('SIGCONT');
    }
    for (const state of states) {
      samples.push(await createSample(deployment, state));
    }
    await startLost(deployment, shape);
  }
  return createRow(shape.name, kind.name, samples);
}

async function measureNaive(
  deployment: Deployment,
  shape: Shape,
  kind: 'SIGKILL' | 'SIGSTOP',
): Promise<ResultRow> {
  const samples: Sample[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    const engines = deployment.engines;
    const runs = Array.from({length: PARALLEL}, async (_, at) => {
      let hasFailed = false;
      const run = await runNaiveCaller(
        engines,
        at,
        NAMES.model,
        createPrompt(at),
        TOKENS,
        (engine, count) => {
          if (hasFailed || count !== FAIL_AT) return;
          hasFailed = true;
          engine.process.sendSignal(kind);
        },
      );
      const whole = run.times.length === TOKENS;
      const {redone, orders} = run;
      return {gapMs: findGap(run.times), redone, orders, whole};
    });
    samples.push(...(await Promise.all(runs)));
    await startLost(deployment, shape);
  }
  const what = kind === 'SIGKILL' ? 'killed' : 'frozen';
  return createRow(shape.name, `naive: engine ${what}`, samples);
}

function createRow(
  shape: string,
  failure: string,
  samples: readonly Sample[],
): ResultRow {
  const {median, p95, worst} = computeSpread(samples.map((s) => s.gapMs));
  const sum = (pick: (sample: Sample) => number): number =>
    samples.reduce((total, sample) => total + pick(sample), 0);
  return {
    shape,
    failure,
    samples: samples.length,
    whole: samples.filter((sample) => sample.whole).length,
    gapMsMedian: median,
    gapMsP95: p95,
    gapMsWorst: worst,
    redonePerAnswer: formatNumber(sum((s) => s.redone) / samples.length),
    ordersPerAnswer: formatNumber(sum((s) => s.orders) / samples.length),
  };
}

/** What is asked for on the command line: shapes, failures, rounds. */
function readWords(words: readonly string[]): {
  shapes: readonly Shape[];
  kinds: readonly FailureKind[];
  rounds: number;
} {
  const shapes = SHAPES.filter((shape) => words.includes(shape.name));
  const kinds = FAILURE_KINDS.filter((kind) => words.includes(kind.name));
  const rounds = words.map(Number).find((word) => word > 0);
  return {
    shapes: shapes.length > 0 ? shapes : SHAPES,
    kinds: kinds.length > 0 ? kinds : FAILURE_KINDS,
    rounds: rounds ?? ROUNDS,
  };
}

/** The measurement. */
export const RESUME_BENCH = createBench({
  name: 'resume',
  description: 'resume latency and extra use per kind of failure',
  async run(printRow, words) {
    const rows: ResultRow[] = [];
    const {shapes, kinds, rounds} = readWords(words);
    for (const shape of shapes) {
      const deployment = await createDeployment(shape.options);
      try {
        for (const kind of kinds) {
          rows.push(await measureKind(deployment, shape, kind, rounds));
          printRow(rows.at(-1) ?? {});
        }
        const signals = ['SIGKILL', 'SIGSTOP'] as const;
        // The naive way is run beside all kinds, not beside chosen ones.
        for (const signal of kinds === FAILURE_KINDS ? signals : []) {
          rows.push(await measureNaive(deployment, shape, signal));
          printRow(rows.at(-1) ?? {});
        }
      } finally {
        await deployment.stop();
      }
    }
    return {
      rows,
      notes: [
        'the gap is the longest between two tokens after the failure, 20 ms undisturbed',
        'link delays of the deployments (1 and 1.5 ms one way) are not added',
        `a caller leaves a silent host after ${CALLER_PATIENCE_MS} ms`,
        'orders of killed engines are not counted',
      ],
    };
  },
});
