/** Orders keep within their limits whatever becomes of the calls. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  CALL_FATES,
  PHASE_EVENTS,
  ScalingPlatform,
  type Phase,
} from './fixtures/scaling_platform.js';

const RUN_OPTIONS = {
  seed: Number(process.env['IRISDOCK_SEED'] ?? 20261204),
  numRuns: Number(process.env['IRISDOCK_RUNS'] ?? 800),
};

const PHASE: fc.Arbitrary<Phase> = fc.record({
  event: fc.constantFrom(...PHASE_EVENTS),
  domain: fc.constantFrom('a', 'b', 'c'),
  fates: fc.array(fc.constantFrom(...CALL_FATES), {maxLength: 6}),
  load: fc.constantFrom(1, 15, 30, 50, 70),
  steps: fc.constantFrom(1, 2, 4, 8, 16, 60),
});

async function listFaults(phases: readonly Phase[]): Promise<string[]> {
  const platform = new ScalingPlatform();
  await platform.runPhases(phases);
  return platform.faults;
}

describe('the limits of a failure domain', () => {
  // Guards against ordinary endpoints in the place of an order of spot endpoints
  // that was accepted without an answer, and whose repetition was refused.
  it('hold after an order that was accepted without an answer', async () => {
    const fates = ['answer lost', 'refused'] as const;
    const phase = {event: 'none', domain: 'a', load: 70, steps: 60} as const;
    assert.deepEqual(await listFaults([{...phase, fates}]), []);
  });

  // Guards against orders of both kinds that together exceed the maximum or fall
  // below the minimum, as one that may have been accepted counts as not given.
  it('hold for the numbers that the platform keeps', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(PHASE, {maxLength: 20}), async (phases) => {
        assert.deepEqual(await listFaults(phases), []);
      }),
      RUN_OPTIONS,
    );
  });
});
