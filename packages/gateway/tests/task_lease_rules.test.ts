/**
 * Tests that the platform never sees calls of a task in a wrong order, for
 * random interleavings of three hosts and for a fault forced at each step.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Fault, Step} from './fixtures/task_process.js';
import {
  createForcedFault,
  createRandomFaults,
  TaskSimulation,
  type FaultPlan,
} from './fixtures/task_simulation.js';

const FIRST_SEED = Number(process.env['IRISDOCK_SEED'] ?? 20261204);
/** Interleavings per seed, and seeds. */
const RUNS = Number(process.env['IRISDOCK_RUNS'] ?? 200);
const SEEDS = 20;
const ONE_FAULT_IN = 60;
const MAX_NTH_WRITE = 7;

/** Calls must arrive again after this time of a run of 40 s, in ms. */
const RESUMED_MS = 30_000;

const STEPS: readonly Step[] = [
  'read-sent',
  'read-answered',
  'write-sent',
  'write-answered',
  'call-connected',
  'call-sent',
  'call-answered',
];
const FAULTS: readonly Fault[] = ['freeze', 'cut', 'kill', 'lost', 'late'];

interface RunOutcome {
  readonly violation: string | undefined;
  readonly calls: number;
  readonly holders: number;
  /** When the last call arrived, in ms. */
  readonly lastAt: number;
}

async function runSimulation(
  seed: number,
  plan: FaultPlan,
  hasEvents: boolean,
): Promise<RunOutcome> {
  const simulation = new TaskSimulation(seed, {}, plan);
  await simulation.run(hasEvents);
  const {arrivals} = simulation;
  return {
    violation: simulation.findViolation(),
    calls: arrivals.length,
    holders: new Set(arrivals.map(({host}) => host)).size,
    lastAt: arrivals.at(-1)?.at ?? 0,
  };
}

describe('calls under the lease of a task', () => {
  it('break no rule in random interleavings of three hosts', async () => {
    let calls = 0;
    let runsWithTakeover = 0;
    for (let index = 0; index < SEEDS * RUNS; index++) {
      const seed = (FIRST_SEED + index) % 2 ** 31;
      const plan = createRandomFaults(ONE_FAULT_IN);
      const run = await runSimulation(seed, plan, true);
      assert.equal(run.violation, undefined, `seed ${seed}`);
      calls += run.calls;
      if (run.holders > 1) runsWithTakeover++;
    }
    // Guards against interleavings in which nothing happens.
    assert.ok(calls > 10 * SEEDS * RUNS, `${calls} calls`);
    assert.ok(runsWithTakeover > (SEEDS * RUNS) / 4, `${runsWithTakeover}`);
  });

  for (const step of STEPS) {
    it(`break no rule after a fault at ${step}, and go on`, async () => {
      for (const fault of FAULTS) {
        for (let seed = 1; seed <= 2 * MAX_NTH_WRITE; seed++) {
          const plan = createForcedFault(step, fault, seed);
          const {violation, lastAt} = await runSimulation(seed, plan, false);
          assert.equal(violation, undefined, `${fault}, seed ${seed}`);
          assert.ok(lastAt > RESUMED_MS, `${fault}, seed ${seed}: ${lastAt}`);
        }
      }
    });
  }
});
