/**
 * One large team against ten small ones on a service that is full: what each
 * gets, and how long small teams wait. The queue's decision alone, against
 * the naive queue, with the same arrivals.
 */
import {SeededRandom} from '@irisdock/kernel';
import {FairQueue, NaiveQueue, type QueuedRequest} from '@irisdock/decisions';
import {createBench, type ResultRow} from '../bench.js';
import {computeFairness, computeSpread, formatNumber} from '../statistics.js';

const SLOTS = 16;
const SERVICE_MS = 300;
const END_MS = 60_000;
const LARGE_PER_SECOND = 100;
const SMALL_PER_SECOND = 2;
const SMALL_TEAMS = 10;
const MAX_QUEUE = 200;
const MAX_WAIT_MS = 5000;

interface Queue {
  readonly size: number;
  offer(waiter: QueuedRequest): {outcome: string; evicted?: QueuedRequest};
  take(): QueuedRequest | undefined;
}

interface Arrival {
  readonly at: number;
  readonly team: string;
}

function createArrivals(): Arrival[] {
  const random = new SeededRandom(11);
  const arrivals: Arrival[] = [];
  const add = (team: string, perSecond: number): void => {
    const mean = 1000 / perSecond;
    for (let at = 0; at < END_MS;) {
      at += -mean * Math.log((random.getInt(1e6) + 1) / (1e6 + 1));
      arrivals.push({at, team});
    }
  };
  add('large', LARGE_PER_SECOND);
  for (let team = 0; team < SMALL_TEAMS; team++) {
    add(`small-${team}`, SMALL_PER_SECOND);
  }
  return arrivals.sort((a, b) => a.at - b.at);
}

/** Runs the arrivals through a queue before slots of equal speed. */
function runQueue(queue: Queue, arrivals: readonly Arrival[]): ResultRow {
  const arrivedAt = new Map<string, number>();
  const waits: number[] = [];
  const served = new Map<string, number>();
  const asked = new Map<string, number>();
  const freeAt = Array.from({length: SLOTS}, () => 0);
  const serveUntil = (now: number): void => {
    for (;;) {
      const slot = freeAt.indexOf(Math.min(...freeAt));
      const free = freeAt[slot] ?? Infinity;
      if (free > now || queue.size === 0) return;
      const waiter = queue.take();
      if (waiter === undefined) return;
      const startAt = Math.max(free, arrivedAt.get(waiter.id) ?? 0);
      // One that has waited too long was given up and takes no slot.
      if (startAt > waiter.deadlineAt) continue;
      freeAt[slot] = startAt + SERVICE_MS;
      served.set(waiter.team, (served.get(waiter.team) ?? 0) + 1);
      if (waiter.team === 'large') continue;
      waits.push(startAt - (arrivedAt.get(waiter.id) ?? 0));
    }
  };
  for (const [at, arrival] of arrivals.entries()) {
    serveUntil(arrival.at);
    const {team} = arrival;
    const id = String(at);
    arrivedAt.set(id, arrival.at);
    asked.set(team, (asked.get(team) ?? 0) + 1);
    const deadlineAt = arrival.at + MAX_WAIT_MS;
    queue.offer({id, team, weight: 1, cost: 1, deadlineAt});
  }
  serveUntil(END_MS);
  const parts = [...asked].map(
    ([team, count]) => (served.get(team) ?? 0) / count,
  );
  const small = parts.filter((_, at) => [...asked.keys()][at] !== 'large');
  const {median, p95} = computeSpread(waits);
  const total = [...served.values()].reduce((sum, each) => sum + each, 0);
  return {
    smallServedPercent: formatNumber(
      (100 * small.reduce((sum, part) => sum + part, 0)) / small.length,
      1,
    ),
    smallWaitMsMedian: median,
    smallWaitMsP95: p95,
    jainOfPartsServed: formatNumber(computeFairness(small), 3),
    servedPerSecond: formatNumber((total * 1000) / END_MS, 1),
  };
}

/** The measurement. */
export const FAIRNESS_BENCH = createBench({
  name: 'fairness',
  description: 'ten small teams beside a large one on a full service',
  run: () => {
    const arrivals = createArrivals();
    const fair = runQueue(new FairQueue(() => MAX_QUEUE), arrivals);
    const naive = runQueue(new NaiveQueue(() => MAX_QUEUE), arrivals);
    return Promise.resolve({
      rows: [
        {queue: 'fair', ...fair},
        {queue: 'naive', ...naive},
      ],
      notes: [
        `${SLOTS} slots of ${SERVICE_MS} ms, ${LARGE_PER_SECOND} requests a second of the large team, ${SMALL_PER_SECOND} of each small one, seed 11`,
      ],
    });
  },
});
