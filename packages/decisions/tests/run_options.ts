/** Options of property tests: a fixed seed, that a longer hunt may change. */

/** Seed and number of runs. */
export const RUN_OPTIONS = {
  seed: Number(process.env['IRISDOCK_SEED'] ?? 20261202),
  numRuns: Number(process.env['IRISDOCK_RUNS'] ?? 200),
};
