/** Tests that a run lease has one holder at a time for any requests. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RUN_LEASE_MS, RunLeaseTable} from '@irisdock/decisions';
import fc from 'fast-check';

const RUN_OPTIONS = {
  seed: Number(process.env['IRISDOCK_SEED'] ?? 20261203),
  numRuns: Number(process.env['IRISDOCK_RUNS'] ?? 200),
};
const CONTENT = 'a';

interface Step {
  readonly kind: 'acquire' | 'release';
  readonly run: string;
  readonly afterMs: number;
}

const STEP: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom('acquire', 'release'),
  run: fc.constantFrom('p', 'q', 'r'),
  afterMs: fc.integer({min: 0, max: 2 * RUN_LEASE_MS}),
});

/** Finds the holder by the history of all grants and releases. */
function findHolder(
  history: readonly {readonly run: string | undefined; readonly at: number}[],
  now: number,
): string | undefined {
  const last = history.at(-1);
  if (last === undefined || now - last.at >= RUN_LEASE_MS) return undefined;
  return last.run;
}

describe('the leases on runs of a content', () => {
  it('have one holder at a time, the one by the history of grants', () => {
    fc.assert(
      fc.property(fc.array(STEP), (steps) => {
        const table = new RunLeaseTable();
        const history: {run: string | undefined; at: number}[] = [];
        let now = 0;
        for (const {kind, run, afterMs} of steps) {
          now += afterMs;
          const holder = findHolder(history, now);
          if (kind === 'release') {
            table.release(CONTENT, run);
            if (holder === run) history.push({run: undefined, at: now});
            continue;
          }
          const {isGranted} = table.acquire(CONTENT, run, now);
          assert.equal(isGranted, holder === undefined || holder === run);
          if (isGranted) history.push({run, at: now});
        }
      }),
      RUN_OPTIONS,
    );
  });

  it('make each waiting run ask less often, the more runs wait', () => {
    const table = new RunLeaseTable();
    table.acquire(CONTENT, 'holder', 0);
    let last = 0;
    for (let run = 0; run < 1000; run++) {
      last = table.acquire(CONTENT, `run-${run}`, 0).waitMs;
    }
    assert.ok(1000 / last <= 0.1, `${last} ms`);
  });

  it('are dropped once they are released or expired', () => {
    const table = new RunLeaseTable();
    table.acquire(CONTENT, 'p', 0);
    table.acquire('b', 'p', 0);
    table.acquire('b', 'q', 0);
    table.release(CONTENT, 'p');
    assert.equal(table.size, 1);
    table.dropExpired(60_000);
    assert.equal(table.size, 0);
  });
});
