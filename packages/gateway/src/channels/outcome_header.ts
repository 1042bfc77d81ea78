/** The header by which the gateway states the outcome of a refused request. */

/** States whether a request without an answer may have run. */
export const OUTCOME_HEADER = 'X-Irisdock-Outcome';
