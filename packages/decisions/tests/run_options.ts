/**
 * Options of property tests: a fixed seed and number of runs, which environment
 * variables override for longer searches.
 */

/** The seed and the number of runs. */
export const RUN_OPTIONS = {
  seed: Number(process.env['IRISDOCK_SEED'] ?? 20261202),
  numRuns: Number(process.env['IRISDOCK_RUNS'] ?? 200),
};
