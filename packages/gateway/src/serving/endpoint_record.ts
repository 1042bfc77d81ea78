/**
 * What this host knows of one start of one endpoint: its entry, what runs
 * there by this host's own account and by what others told, and how it did.
 */
import type {EngineView, PlainEndpointView} from '@irisdock/decisions';
import type {EndpointEntry} from '../model/endpoint_entry.js';
import type {ReportedLoad} from '../model/request_metadata.js';

/** What one host has at an endpoint. */
export interface EndpointUse {
  /** Streams or calls in flight. */
  readonly running: number;
  /** Prompt tokens that are not read yet. */
  readonly unreadTokens: number;
  /** Tokens that its streams and copies will take in memory. */
  readonly expectedTokens: number;
}

/** What a request adds to the use of an endpoint while it runs. */
export interface UseClaim {
  running: number;
  unreadTokens: number;
  expectedTokens: number;
}

/** A failure counts half after this time, in ms. */
const FAILURE_HALF_MS = 900;
/** Below this a failure is forgotten. */
const FAILURE_FORGOTTEN = 0.05;
const MAX_FAILURE_SCORE = 4;
/** What is left of the failures after a success. */
const SUCCESS_FACTOR = 0.5;
/** What an endpoint's answers are taken to last before the first, in ms. */
const FIRST_ANSWER_MS = 40;
/** The weight of the newest answer in the usual time. */
const ANSWER_WEIGHT = 0.15;
/** How long the load that an endpoint told counts, in ms. */
const TOLD_LOAD_MS = 400;

/** The weight of the newest pause between events in the usual one. */
const GAP_WEIGHT = 0.05;

/** How long what an engine's home group told counts, in ms. */
const HOME_USE_MS = 300;
/** How long what another host told counts, in ms; it is told each 900 ms. */
const TOLD_USE_MS = 2000;

/**
 * Why an endpoint is not used any more: its entry was withdrawn, and what runs
 * there goes on; or it started anew, and what ran there is lost.
 */
export type RemovalCause = 'restarted' | 'withdrawn';

/**
 * How long what runs at an endpoint is not worked out anew while nothing changed
 * there, in ms: one choice among 200 engines asks each for it six times.
 */
const SUM_KNOWN_MS = 5;

const NO_USE: EndpointUse = {running: 0, unreadTokens: 0, expectedTokens: 0};

interface KnownSum {
  readonly use: EndpointUse;
  readonly at: number;
}

interface ToldUse {
  readonly use: EndpointUse;
  readonly toldAt: number;
}

/** One endpoint. */
export class EndpointRecord implements EngineView, PlainEndpointView {
  /** Whether a roll-out keeps usual requests from it. */
  isExcludedByRollout = false;
  private goneCause: RemovalCause | undefined;
  private readonly goneListeners = new Set<(cause: RemovalCause) => void>();
  private readonly claims = new Set<UseClaim>();
  private readonly othersUse = new Map<string, ToldUse>();
  private homeUse: ToldUse | undefined;
  private sum: KnownSum | undefined;
  private failures = 0;
  private failedAt = 0;
  private usualAnswerMs = FIRST_ANSWER_MS;
  private gapMs = 0;
  private toldLoad: ReportedLoad | undefined;
  private toldAt = -Infinity;

  constructor(
    public entry: EndpointEntry,
    /** Gives the memory that the service declares; it may change. */
    private readonly getMemoryTokens: () => number,
    private readonly getNow: () => number,
  ) {}

  /** Whether it is not to be used any more. */
  get isRemoved(): boolean {
    return this.goneCause !== undefined;
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

  /** Whether it takes work. */
  get isReady(): boolean {
    return !this.isRemoved && this.entry.state === 'ready';
  }

  /** Whether it may get usual requests. */
  get isUsable(): boolean {
    return this.isReady && !this.isExcludedByRollout;
  }

  get answerMs(): number {
    return this.usualAnswerMs;
  }

  /** The pause between events of its streams of late, in ms; 0 if unknown. */
  get usualGapMs(): number {
    return this.gapMs;
  }

  get streams(): number {
    return this.getUse().running;
  }

  get calls(): number {
    const counted = this.getUse().running;
    if (this.getNow() - this.toldAt > TOLD_LOAD_MS) return counted;
    const told = this.toldLoad;
    return Math.max(counted, (told?.running ?? 0) + (told?.waiting ?? 0));
  }

  get unreadTokens(): number {
    return this.getUse().unreadTokens;
  }

  get expectedTokens(): number {
    return this.getUse().expectedTokens;
  }

  get failureScore(): number {
    const age = this.getNow() - this.failedAt;
    const score = this.failures * 0.5 ** (age / FAILURE_HALF_MS);
    return score < FAILURE_FORGOTTEN ? 0 : score;
  }

  /** Takes it that it is not to be used any more. */
  markRemoved(cause: RemovalCause): void {
    this.goneCause = cause;
    const listeners = [...this.goneListeners];
    this.goneListeners.clear();
    for (const listener of listeners) listener(cause);
  }

  /**
   * Calls a listener once when it is gone, or now if it is.
   *
   * @returns Ends the watch.
   */
  watchRemoval(listener: (cause: RemovalCause) => void): () => void {
    if (this.goneCause === undefined) this.goneListeners.add(listener);
    else listener(this.goneCause);
    return () => this.goneListeners.delete(listener);
  }

  /** Gives what this host alone has there. */
  getOwnUse(): EndpointUse {
    return computeUse(this.claims);
  }

  /** Counts a request there until the claim is dropped. */
  addClaim(claim: UseClaim): void {
    this.claims.add(claim);
    this.sum = undefined;
  }

  /** Takes it that the prompt of a claim was read. */
  markPromptRead(claim: UseClaim): void {
    claim.unreadTokens = 0;
    this.sum = undefined;
  }

  /** Ends a claim. */
  releaseClaim(claim: UseClaim): void {
    this.claims.delete(claim);
    this.sum = undefined;
  }

  /** Takes what another host told that it has there. */
  setPeerUse(host: string, use: EndpointUse | undefined): void {
    if (use === undefined) this.othersUse.delete(host);
    else this.othersUse.set(host, {use, toldAt: this.getNow()});
    this.sum = undefined;
  }

  /** Takes what the home group of an engine of another group told. */
  setHomeGroupUse(use: EndpointUse, failures: number): void {
    this.homeUse = {use, toldAt: this.getNow()};
    this.sum = undefined;
    if (failures <= this.failureScore) return;
    this.failures = failures;
    this.failedAt = this.getNow();
  }

  /** Gives what runs there, but for what one other host has there. */
  getUseExcept(host: string): EndpointUse {
    return this.computeSum(this.getNow(), host);
  }

  /** Takes the load that the endpoint told. */
  recordLoad(load: ReportedLoad): void {
    this.toldLoad = load;
    this.toldAt = this.getNow();
  }

  /** Takes the pause between two events of a stream there, in ms. */
  recordGap(gapMs: number): void {
    this.gapMs += GAP_WEIGHT * (gapMs - this.gapMs);
  }

  /** Takes an answer that can be used. */
  recordSuccess(answerMs: number | undefined): void {
    this.failures = this.failureScore * SUCCESS_FACTOR;
    this.failedAt = this.getNow();
    if (answerMs === undefined) return;
    this.usualAnswerMs += ANSWER_WEIGHT * (answerMs - this.usualAnswerMs);
  }

  /** Takes a failure; `weight` 1 is a lost connection. */
  recordFailure(weight: number): void {
    this.failures = Math.min(MAX_FAILURE_SCORE, this.failureScore + weight);
    this.failedAt = this.getNow();
  }

  /** Gives what runs there; mostly nothing does, and nothing is worked out. */
  private getUse(): EndpointUse {
    const isIdle = this.claims.size === 0 && this.othersUse.size === 0;
    if (isIdle && this.homeUse === undefined) return NO_USE;
    const now = this.getNow();
    const {sum} = this;
    if (sum !== undefined && now - sum.at < SUM_KNOWN_MS) return sum.use;
    const use = this.computeSum(now, undefined);
    this.sum = {use, at: now};
    return use;
  }

  private computeSum(now: number, exceptHost: string | undefined): EndpointUse {
    const uses: EndpointUse[] = [...this.claims];
    // The home group's word holds what its hosts told singly.
    if (this.homeUse !== undefined && now - this.homeUse.toldAt < HOME_USE_MS) {
      return computeUse([...uses, this.homeUse.use]);
    }
    this.homeUse = undefined;
    for (const [host, {use, toldAt}] of this.othersUse) {
      if (host === exceptHost || now - toldAt > TOLD_USE_MS) continue;
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
