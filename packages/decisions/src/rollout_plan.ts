/**
 * How a service moves to endpoints of another version. A small part of its
 * requests goes to few of the new endpoints (`trial`) for as long as the time
 * allows; then all go there at once (`moving`), and when nothing runs on the
 * old ones any more the roll-out is `completed`. A version found bad is
 * `rolled-back` at any time before. docs/design/rollouts.md weighs other ways.
 *
 * Requests that a bad version gets are bounded as a part of all requests from
 * the order to the end of its time. So the later the change-over, the more is
 * known and the fewer a bad version can still get; it comes as late as the time
 * left for what runs on the old endpoints allows, and never so early that what
 * is left of the bound would not hold all requests until the end.
 */
import type {VersionVerdict} from './rollout_verdict.js';

/** The phases; each host knows one of each order. */
export const ROLLOUT_PHASES = [
  'announced',
  'trial',
  'moving',
  'rolled-back',
  'completed',
] as const;
/** A phase. `announced`: no host has taken charge of it yet. */
export type RolloutPhase = (typeof ROLLOUT_PHASES)[number];

/** What bounds the requests that a bad version gets. */
export interface ExposureBounds {
  /** As a part of all requests of the service in the time of the order. */
  readonly share: number;
  /** Requests beyond that. */
  readonly slack: number;
}

/** How a roll-out stands. */
export interface RolloutView {
  readonly phase: RolloutPhase;
  readonly verdict: VersionVerdict;
  readonly bounds: ExposureBounds;
  /** Since the order was seen, in ms. */
  readonly elapsedMs: number;
  /** The time that the operator gave, in ms. */
  readonly durationMs: number;
  /** Requests of the service since the order, over all hosts. */
  readonly requests: number;
  /** Of them, those sent to the new version. */
  readonly trialSends: number;
  /** New endpoints that can take requests. */
  readonly newEndpoints: number;
  /** What still runs on old endpoints; undefined when not all hosts told. */
  readonly oldRunning: number | undefined;
}

/** The part of the bound that trials may use; the rest is for the change-over. */
const TRIAL_PART = 0.4;
/** The part of the bound that is ever used, as hosts count late. */
const USED_PART = 0.8;
/** Answers of the new version before all requests go there. */
const LEAST_TRIALS = 20;
/**
 * The part of the time after which fewer trials are enough: services with few
 * requests never come to more.
 */
const LATE_PART = 0.85;

/** Decides which phase follows. */
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
  const isLate = elapsedMs >= LATE_PART * durationMs;
  const isTried = verdict === 'sound' || trialSends >= LEAST_TRIALS;
  if (!isTried && !isLate) return false;
  return elapsedMs >= durationMs || hasRoomToMove(view);
}

/** Whether the bound holds if all requests go to the new version from now on. */
function hasRoomToMove(view: RolloutView): boolean {
  const {elapsedMs, durationMs, requests, trialSends, bounds} = view;
  const rate = requests / Math.max(1, elapsedMs);
  const later = rate * (durationMs - elapsedMs);
  const most = bounds.share * (requests + later) + bounds.slack;
  return trialSends + later <= USED_PART * most;
}

/**
 * How many requests one host may have sent to the new version in the trial:
 * all hosts together then stay within their part of the bound, whatever they
 * know of each other.
 *
 * @param ownRequests Requests of the service at this host since the order.
 * @param hosts Hosts that take requests, this one included.
 */
export function computeTrialQuota(
  bounds: ExposureBounds,
  ownRequests: number,
  hosts: number,
): number {
  const {share, slack} = bounds;
  return TRIAL_PART * (share * ownRequests + slack / Math.max(1, hosts));
}

/** New endpoints that a trial uses at most. */
const MOST_TRIAL_ENDPOINTS = 4;

/**
 * How many of the new endpoints a trial uses: as few as give each the load that
 * it is to carry, so that a fault under load shows, and two at least, as one
 * may fail by itself.
 */
export function countTrialEndpoints(
  bounds: ExposureBounds,
  newEndpoints: number,
): number {
  const loaded = Math.ceil(newEndpoints * bounds.share * TRIAL_PART);
  return Math.min(newEndpoints, clamp(loaded, 2, MOST_TRIAL_ENDPOINTS));
}

function clamp(value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}
