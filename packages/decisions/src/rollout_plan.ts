/**
 * Plans the phases of a rollout, which moves a service to endpoints of another
 * version. A small share of the requests goes to a few new endpoints (`trial`)
 * for as long as time allows; then all requests go to the new ones (`moving`).
 * The rollout is `completed` once nothing runs on the old endpoints, and
 * `rolled-back` if the version is found bad before. docs/design/rollouts.md
 * compares the alternatives.
 *
 * The exposure, the requests that a bad version may get, is bounded as a share
 * of all requests from the order to its deadline. The later the switch, the
 * more evidence there is and the fewer requests a bad version can still get. So
 * the switch comes as late as the time that the old endpoints need to finish
 * allows, and never so early that sending all further requests to the new
 * version could exceed the bound.
 */
import type {VersionVerdict} from './rollout_verdict.js';

/** The phases of a rollout; each host tracks one per order. */
export const ROLLOUT_PHASES = [
  'announced',
  'trial',
  'moving',
  'rolled-back',
  'completed',
] as const;
/** A phase. `announced`: no host coordinates the rollout yet. */
export type RolloutPhase = (typeof ROLLOUT_PHASES)[number];

/** Bounds on the requests that a bad version gets. */
export interface ExposureBounds {
  /** The share of all requests of the service during the rollout. */
  readonly share: number;
  /** Further requests, regardless of the share. */
  readonly slack: number;
}

/** The state of a rollout. */
export interface RolloutView {
  readonly phase: RolloutPhase;
  readonly verdict: VersionVerdict;
  readonly bounds: ExposureBounds;
  /** The time since the order was received, in ms. */
  readonly elapsedMs: number;
  /** The time that the operator set for the rollout, in ms. */
  readonly durationMs: number;
  /** Requests of the service since the order, over all hosts. */
  readonly requests: number;
  /** The requests among them that were sent to the new version. */
  readonly trialSends: number;
  /** New endpoints that can take requests. */
  readonly newEndpoints: number;
  /** Requests running on old endpoints; undefined until all hosts reported. */
  readonly oldRunning: number | undefined;
}

/** The fraction of the bound for the trial; the rest is for the switch. */
const TRIAL_FRACTION = 0.4;
/** The fraction of the bound to use at all, as counts of hosts arrive late. */
const USED_FRACTION = 0.8;
/** Requests to the new version before all go there without a verdict. */
const MIN_TRIALS = 20;
/**
 * The fraction of the duration after which fewer trial requests are enough:
 * services with few requests never reach the minimum.
 */
const LATE_FRACTION = 0.85;

/** Decides the next phase. */
export function decideNextPhase(view: RolloutView): RolloutPhase {
  const {phase, verdict} = view;
  const isOpen = phase === 'trial' || phase === 'moving';
  if (phase === 'announced') return 'trial';
  if (!isOpen) return phase;
  if (verdict === 'bad') return 'rolled-back';
  if (phase === 'moving') {
    return view.oldRunning === 0 ? 'completed' : 'moving';
  }
  return isMoveAllowed(view) ? 'moving' : 'trial';
}

function isMoveAllowed(view: RolloutView): boolean {
  const {elapsedMs, durationMs, trialSends, newEndpoints, verdict} = view;
  if (newEndpoints === 0 || trialSends === 0) return false;
  const isLate = elapsedMs >= LATE_FRACTION * durationMs;
  const isTried = verdict === 'sound' || trialSends >= MIN_TRIALS;
  if (!isTried && !isLate) return false;
  return elapsedMs >= durationMs || hasRoomToMove(view);
}

/** Tells whether the bound holds if all later requests use the new version. */
function hasRoomToMove(view: RolloutView): boolean {
  const {elapsedMs, durationMs, requests, trialSends, bounds} = view;
  const rate = requests / Math.max(1, elapsedMs);
  const later = rate * (durationMs - elapsedMs);
  const bound = bounds.share * (requests + later) + bounds.slack;
  return trialSends + later <= USED_FRACTION * bound;
}

/**
 * Computes how many requests one host may send to the new version during the
 * trial. All hosts together then stay within the trial's fraction of the bound,
 * even if they don't know each other's counts.
 *
 * @param ownRequests Requests of the service at this host since the order.
 * @param hosts The number of hosts that take requests, this one included.
 */
export function computeTrialQuota(
  bounds: ExposureBounds,
  ownRequests: number,
  hosts: number,
): number {
  const {share, slack} = bounds;
  return TRIAL_FRACTION * (share * ownRequests + slack / Math.max(1, hosts));
}

/** The most new endpoints that a trial uses. */
const MAX_TRIAL_ENDPOINTS = 4;

/**
 * Returns how many of the new endpoints a trial uses: so few that each gets its
 * normal load, to reveal faults under load, but at least two, as a single one
 * may fail for other reasons.
 */
export function countTrialEndpoints(
  bounds: ExposureBounds,
  newEndpoints: number,
): number {
  const loaded = Math.ceil(newEndpoints * bounds.share * TRIAL_FRACTION);
  return Math.min(newEndpoints, clamp(loaded, 2, MAX_TRIAL_ENDPOINTS));
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
