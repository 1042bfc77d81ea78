/**
 * False alarms of the stall limits over streams with gaps of several spreads,
 * and how long a stream that really stopped is waited for; beside one fixed
 * time for all. The decision alone, no processes.
 */
import {SeededRandom} from '@irisdock/kernel';
import {GapStatistics, DEFAULT_STALL_BOUNDS} from '@irisdock/decisions';
import {createBench, type ResultRow} from '../bench.js';
import {formatNumber} from '../statistics.js';

const STREAMS = 2000;
const TOKENS = 500;
const WARM_GAPS = 500;
const FIXED_MS = 3000;
const PROBE_MS = 300;
const STEPS = 1_000_000;

interface Spread {
  readonly name: string;
  readonly medianMs: number;
  /** The standard deviation of the gap's logarithm. */
  readonly sigma: number;
  /** One gap in so many is a pause of `pauseMs`; 0 for none. */
  readonly pauseEvery: number;
  readonly pauseMs: number;
}

const SPREADS: readonly Spread[] = [
  {name: 'even 20 ms', medianMs: 20, sigma: 0.1, pauseEvery: 0, pauseMs: 0},
  {name: 'usual 30 ms', medianMs: 30, sigma: 0.46, pauseEvery: 0, pauseMs: 0},
  {name: 'wide 30 ms', medianMs: 30, sigma: 0.9, pauseEvery: 0, pauseMs: 0},
  {
    name: 'usual, pauses of 400 ms',
    medianMs: 30,
    sigma: 0.46,
    pauseEvery: 2000,
    pauseMs: 400,
  },
  {
    name: 'usual, pauses of 1200 ms',
    medianMs: 30,
    sigma: 0.46,
    pauseEvery: 20_000,
    pauseMs: 1200,
  },
];

/** A number from the standard normal distribution. */
function computeNormal(random: SeededRandom): number {
  const u = (random.getInt(STEPS) + 1) / (STEPS + 1);
  const v = random.getInt(STEPS) / STEPS;
  return Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * v);
}

function createGap(spread: Spread, random: SeededRandom): number {
  const {pauseEvery, pauseMs, medianMs, sigma} = spread;
  if (pauseEvery > 0 && random.getInt(pauseEvery) === 0) return pauseMs;
  return medianMs * Math.exp(sigma * computeNormal(random));
}

function measureSpread(spread: Spread): ResultRow {
  const random = new SeededRandom(7);
  const statistics = new GapStatistics();
  for (let at = 0; at < WARM_GAPS; at++) {
    statistics.record(createGap(spread, random));
  }
  let probes = 0;
  let alarms = 0;
  let timeAloneAlarms = 0;
  let fixedAlarms = 0;
  for (let stream = 0; stream < STREAMS; stream++) {
    let hasAlarm = false;
    let hasTimeAlarm = false;
    let hasFixedAlarm = false;
    for (let token = 0; token < TOKENS; token++) {
      const gap = createGap(spread, random);
      const {probeMs, lostMs} = statistics.getLimits(DEFAULT_STALL_BOUNDS);
      if (gap >= probeMs) probes++;
      hasTimeAlarm ||= gap >= probeMs;
      // The engine lives and answers its probe, so only the longer limit ends.
      hasAlarm ||= gap >= lostMs;
      hasFixedAlarm ||= gap >= FIXED_MS;
      statistics.record(gap);
    }
    alarms += Number(hasAlarm);
    timeAloneAlarms += Number(hasTimeAlarm);
    fixedAlarms += Number(hasFixedAlarm);
  }
  const {probeMs, lostMs} = statistics.getLimits(DEFAULT_STALL_BOUNDS);
  const perThousand = (count: number): number =>
    formatNumber((count * 1000) / STREAMS, 1);
  return {
    gaps: spread.name,
    probesPer1000: perThousand(probes),
    falseAlarmsPer1000: perThousand(alarms),
    withoutProbePer1000: perThousand(timeAloneAlarms),
    fixedPer1000: perThousand(fixedAlarms),
    frozenNoticedMs: formatNumber(probeMs + PROBE_MS, 0),
    stalledNoticedMs: formatNumber(lostMs, 0),
    fixedNoticedMs: FIXED_MS,
  };
}

/** The measurement. */
export const STALLS_BENCH = createBench({
  name: 'stalls',
  description: 'false alarms of the stall limits, and how soon a loss is seen',
  run: () =>
    Promise.resolve({
      rows: SPREADS.map(measureSpread),
      notes: [`${STREAMS} streams of ${TOKENS} tokens a row, seed 7`],
    }),
});
