/**
 * Tests that the platform never sees calls of a task in a wrong order, for
 * random interleavings of three hosts and for a fault forced at each step.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Fault, Step} from './fixtures/task_process.js';
import {runInThread} from './fixtures/task_runs_worker.js';
import {createForcedFault, TaskSimulation} from './fixtures/task_simulation.js';

const FIRST_SEED = Number(process.env['IRISDOCK_SEED'] ?? 20261204);
/** Interleavings per seed, and seeds. */
const RUNS = Number(process.env['IRISDOCK_RUNS'] ?? 200);
const SEEDS = 20;
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

describe('calls under the lease of a task', () => {
  it('break no rule in random interleavings of three hosts', async () => {
    const {violation, calls, runsWithTakeover} = await runInThread({
      hasAdversePlans: false,
      firstSeed: FIRST_SEED,
      seeds: SEEDS * RUNS,
    });
    assert.equal(violation, undefined);
    // Guards against interleavings in which nothing happens.
    assert.ok(calls > 10 * SEEDS * RUNS, `${calls} calls`);
    assert.ok(runsWithTakeover > (SEEDS * RUNS) / 4, `${runsWithTakeover}`);
  });

  for (const step of STEPS) {
    it(`break no rule after a fault at ${step}, and go on`, async () => {
      for (const fault of FAULTS) {
        for (let seed = 1; seed <= 2 * MAX_NTH_WRITE; seed++) {
          const plan = createForcedFault(step, fault, seed);
          const simulation = new TaskSimulation(seed, {}, plan);
          await simulation.run(false);
          const violation = simulation.findViolation();
          const lastAt = simulation.arrivals.at(-1)?.at ?? 0;
          assert.equal(violation, undefined, `${fault}, seed ${seed}`);
          assert.ok(lastAt > RESUMED_MS, `${fault}, seed ${seed}: ${lastAt}`);
        }
      }
    });
  }
});
