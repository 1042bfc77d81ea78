/**
 * What this host knows of one instance of an endpoint: its entry, what runs on
 * it by this host's own claims and by reports of others, and its failures and
 * latencies.
 */
import type {EngineView, PlainEndpointView} from '@irisdock/decisions';
import type {EndpointEntry} from '../model/endpoint_entry.js';
import type {ReportedLoad} from '../model/request_metadata.js';

/** What one host has running on an endpoint. */
export interface EndpointUse {
  /** Streams or calls in flight. */
  readonly running: number;
  /** Prompt tokens that are not processed yet. */
  readonly unreadTokens: number;
  /** Expected size of the KV caches of its streams and replicas, in tokens. */
  readonly expectedTokens: number;
}

/** What a request adds to the use of an endpoint until it is released. */
export interface UseClaim {
  running: number;
  unreadTokens: number;
  expectedTokens: number;
}

/** The half-life of the failure score, in ms. */
const FAILURE_HALF_LIFE_MS = 900;
/** A lower failure score counts as 0. */
const MIN_FAILURE_SCORE = 0.05;
const MAX_FAILURE_SCORE = 4;
/** The factor by which a success reduces the failure score. */
const SUCCESS_FACTOR = 0.5;
/** The assumed answer time before the first answer, in ms. */
const INITIAL_ANSWER_MS = 40;
/** The weight of the newest answer in the moving average of answer times. */
const ANSWER_WEIGHT = 0.15;
/** How long a load that the endpoint reported is valid, in ms. */
const REPORTED_LOAD_TTL_MS = 400;

/** The weight of the newest gap between events in the moving average. */
const GAP_WEIGHT = 0.05;

/** How long a report of an engine's home group is valid, in ms. */
const HOME_GROUP_USE_TTL_MS = 300;
/** How long a report of another host is valid, in ms; sent every 900 ms. */
const PEER_USE_TTL_MS = 2000;

/**
 * Why an endpoint was removed: its entry was withdrawn, and its current runs
 * continue; or it restarted, and its runs are lost.
 */
export type RemovalCause = 'restarted' | 'withdrawn';

/**
 * How long the sum of uses is cached while nothing changes, in ms. One choice
 * among 200 engines reads it six times for each.
 */
const SUM_CACHE_MS = 5;

const NO_USE: EndpointUse = {running: 0, unreadTokens: 0, expectedTokens: 0};

interface CachedSum {
  readonly use: EndpointUse;
  readonly at: number;
}

interface ReportedUse {
  readonly use: EndpointUse;
  readonly reportedAt: number;
}

/** The record of one endpoint instance. */
export class EndpointRecord implements EngineView, PlainEndpointView {
  /** Whether a rollout keeps usual requests away from it. */
  isExcludedByRollout = false;
  /** Whether a rollout that excludes it lets begun streams continue there. */
  isOpenToBegunStreams = false;
  private removalCause: RemovalCause | undefined;
  private removedAt = 0;
  private readonly removalListeners = new Set<(cause: RemovalCause) => void>();
  private end: number | undefined;
  private drainEnd = -Infinity;
  private readonly endListeners = new Set<(endsAt: number) => void>();
  private readonly claims = new Set<UseClaim>();
  private readonly peerUse = new Map<string, ReportedUse>();
  private homeGroupUse: ReportedUse | undefined;
  private sum: CachedSum | undefined;
  private failures = 0;
  private failedAt = 0;
  /** Streams of this host there that are silent and may be lost. */
  private suspicions = 0;
  private meanAnswerMs = INITIAL_ANSWER_MS;
  private meanGapMs = 0;
  private reportedLoad: ReportedLoad | undefined;
  private loadReportedAt = -Infinity;

  constructor(
    public entry: EndpointEntry,
    /** Returns the KV cache size that the service declares; it may change. */
    private readonly getMemoryTokens: () => number,
    private readonly getNow: () => number,
  ) {}

  /** Whether the endpoint was removed and must not be used any more. */
  get isRemoved(): boolean {
    return this.removalCause !== undefined;
  }

  /** Whether another instance of the endpoint has replaced this one. */
  get hasRestarted(): boolean {
    return this.removalCause === 'restarted';
  }

  get endpointId(): string {
    return this.entry.endpointId;
  }

  get instanceId(): string {
    return this.entry.instanceId;
  }

  get address(): string {
    return this.entry.address;
  }

  get failureDomain(): string {
    return this.entry.failureDomain;
  }

  get memoryTokens(): number {
    return this.getMemoryTokens();
  }

  get slots(): number {
    return this.entry.slots;
  }

  /** Whether the endpoint accepts requests. */
  get isReady(): boolean {
    return !this.isRemoved && this.entry.state === 'ready';
  }

  /** Whether the endpoint may get usual requests, other than rollout trials. */
  get isUsable(): boolean {
    return this.isReady && !this.isExcludedByRollout;
  }

  /** Whether the endpoint may continue a stream that began at its version. */
  get isOpenToBegun(): boolean {
    return this.isReady && this.isOpenInRollout;
  }

  /**
   * Whether it is leaving and still serves: it may continue a stream that began
   * at its version and has no other endpoint.
   */
  get isDraining(): boolean {
    if (this.isRemoved || this.isReady) return false;
    return this.isOpenInRollout && this.getNow() < this.servesUntil;
  }

  /** While it is leaving, until when it may get requests, in ms of the clock. */
  get servesUntil(): number {
    return Math.min(this.drainEnd, this.end ?? Infinity);
  }

  /** Sets until when it may get requests while it is leaving. */
  setDrainEnd(drainEnd: number): void {
    this.drainEnd = drainEnd;
  }

  private get isOpenInRollout(): boolean {
    return !this.isExcludedByRollout || this.isOpenToBegunStreams;
  }

  get answerMs(): number {
    return this.meanAnswerMs;
  }

  /** The recent mean gap between events of its streams, in ms; 0 if unknown. */
  get usualGapMs(): number {
    return this.meanGapMs;
  }

  get streams(): number {
    return this.getUse().running;
  }

  /** Calls in flight by known claims, or by a higher reported load. */
  get calls(): number {
    const counted = this.getUse().running;
    if (this.getNow() - this.loadReportedAt > REPORTED_LOAD_TTL_MS) {
      return counted;
    }
    const reported = this.reportedLoad;
    return Math.max(
      counted,
      (reported?.running ?? 0) + (reported?.waiting ?? 0),
    );
  }

  get unreadTokens(): number {
    return this.getUse().unreadTokens;
  }

  get expectedTokens(): number {
    return this.getUse().expectedTokens;
  }

  /**
   * The weighted number of recent failures, which decays over time. A suspicion
   * counts as one for as long as it lasts.
   */
  get failureScore(): number {
    const score = this.recordedFailures + (this.isSuspected ? 1 : 0);
    return Math.min(MAX_FAILURE_SCORE, score);
  }

  /** Whether a stream of this host there is silent and may be lost. */
  get isSuspected(): boolean {
    return this.suspicions > 0;
  }

  private get recordedFailures(): number {
    const age = this.getNow() - this.failedAt;
    const score = this.failures * 0.5 ** (age / FAILURE_HALF_LIFE_MS);
    return score < MIN_FAILURE_SCORE ? 0 : score;
  }

  /** The time since the endpoint was removed, in ms; 0 if it was not. */
  get removedMs(): number {
    return this.isRemoved ? this.getNow() - this.removedAt : 0;
  }

  /** Marks the endpoint as removed. */
  markRemoved(cause: RemovalCause): void {
    this.removalCause = cause;
    this.removedAt = this.getNow();
    const listeners = [...this.removalListeners];
    this.removalListeners.clear();
    for (const listener of listeners) listener(cause);
  }

  /**
   * Calls a listener once when the endpoint is removed, or now if it was.
   *
   * @returns A function that ends the watch.
   */
  watchRemoval(listener: (cause: RemovalCause) => void): () => void {
    if (this.removalCause === undefined) this.removalListeners.add(listener);
    else listener(this.removalCause);
    return () => this.removalListeners.delete(listener);
  }

  /** When it ends, in ms of the clock; undefined if no end was announced. */
  get endsAt(): number | undefined {
    return this.end;
  }

  /**
   * Records the announced time until the endpoint ends, in ms. The earliest end
   * counts, as an announcement may arrive late.
   */
  recordEnd(leavesMs: number): void {
    const end = this.getNow() + leavesMs;
    this.end = Math.min(this.end ?? end, end);
    const listeners = [...this.endListeners];
    this.endListeners.clear();
    for (const listener of listeners) listener(this.end);
  }

  /**
   * Calls a listener once when the end of the endpoint is announced, or now if
   * it was.
   *
   * @returns A function that ends the watch.
   */
  watchEnd(listener: (endsAt: number) => void): () => void {
    if (this.end === undefined) this.endListeners.add(listener);
    else listener(this.end);
    return () => this.endListeners.delete(listener);
  }

  /** Returns what this host alone has running there. */
  getOwnUse(): EndpointUse {
    return computeUse(this.claims);
  }

  /** Counts a request there until its claim is released. */
  addClaim(claim: UseClaim): void {
    this.claims.add(claim);
    this.sum = undefined;
  }

  /** Marks the prompt of a claim as processed. */
  markPromptRead(claim: UseClaim): void {
    claim.unreadTokens = 0;
    this.sum = undefined;
  }

  /** Releases a claim. */
  releaseClaim(claim: UseClaim): void {
    this.claims.delete(claim);
    this.sum = undefined;
  }

  /** Sets what another host reported to have there; undefined for nothing. */
  setPeerUse(host: string, use: EndpointUse | undefined): void {
    if (use === undefined) this.peerUse.delete(host);
    else this.peerUse.set(host, {use, reportedAt: this.getNow()});
    this.sum = undefined;
  }

  /** Sets what the home group of a remote engine reported. */
  setHomeGroupUse(use: EndpointUse, failures: number): void {
    this.homeGroupUse = {use, reportedAt: this.getNow()};
    this.sum = undefined;
    if (failures <= this.failureScore) return;
    this.failures = failures;
    this.failedAt = this.getNow();
  }

  /** Returns what runs there, except for the runs of one other host. */
  getUseExcept(host: string): EndpointUse {
    return this.computeSum(this.getNow(), host);
  }

  /** Records the load that the endpoint reported. */
  recordLoad(load: ReportedLoad): void {
    this.reportedLoad = load;
    this.loadReportedAt = this.getNow();
  }

  /** Records the gap between two events of a stream there, in ms. */
  recordGap(gapMs: number): void {
    this.meanGapMs += GAP_WEIGHT * (gapMs - this.meanGapMs);
  }

  /** Records a usable answer; `answerMs` is undefined for streams. */
  recordSuccess(answerMs: number | undefined): void {
    this.failures = this.recordedFailures * SUCCESS_FACTOR;
    this.failedAt = this.getNow();
    if (answerMs === undefined) return;
    this.meanAnswerMs += ANSWER_WEIGHT * (answerMs - this.meanAnswerMs);
  }

  /** Records a failure; `weight` is 1 for a lost connection. */
  recordFailure(weight: number): void {
    const failures = this.recordedFailures + weight;
    this.failures = Math.min(MAX_FAILURE_SCORE, failures);
    this.failedAt = this.getNow();
  }

  /** Takes a failure back that proved to be none; `ageMs` is its age, in ms. */
  dropFailure(weight: number, ageMs: number): void {
    const left = weight * 0.5 ** (ageMs / FAILURE_HALF_LIFE_MS);
    this.failures = Math.max(0, this.recordedFailures - left);
    this.failedAt = this.getNow();
  }

  /** Counts one more (1) or one fewer (-1) suspicion of a loss there. */
  countSuspicion(change: 1 | -1): void {
    this.suspicions += change;
  }

  /** Returns what runs there; computes nothing in the usual case of no use. */
  private getUse(): EndpointUse {
    const isIdle = this.claims.size === 0 && this.peerUse.size === 0;
    if (isIdle && this.homeGroupUse === undefined) return NO_USE;
    const now = this.getNow();
    const {sum} = this;
    if (sum !== undefined && now - sum.at < SUM_CACHE_MS) return sum.use;
    const use = this.computeSum(now, undefined);
    this.sum = {use, at: now};
    return use;
  }

  private computeSum(now: number, exceptHost: string | undefined): EndpointUse {
    const uses: EndpointUse[] = [...this.claims];
    // The report of the home group includes what its hosts report individually.
    if (
      this.homeGroupUse !== undefined &&
      now - this.homeGroupUse.reportedAt < HOME_GROUP_USE_TTL_MS
    ) {
      return computeUse([...uses, this.homeGroupUse.use]);
    }
    this.homeGroupUse = undefined;
    for (const [host, {use, reportedAt}] of this.peerUse) {
      if (host === exceptHost || now - reportedAt > PEER_USE_TTL_MS) continue;
      uses.push(use);
    }
    return computeUse(uses);
  }
}

function computeUse(uses: Iterable<EndpointUse>): EndpointUse {
  let running = 0;
  let unreadTokens = 0;
  let expectedTokens = 0;
  for (const use of uses) {
    running += use.running;
    unreadTokens += use.unreadTokens;
    expectedTokens += use.expectedTokens;
  }
  return {running, unreadTokens, expectedTokens};
}
