/**
 * Keeps runs of suspected contents apart: over all hosts, at most one of them
 * runs on an engine at a time. An engine that crashes under a single suspect
 * shows which content is the cause, while one that crashes under several proves
 * nothing against any of them.
 */
import type {Clock, Logger} from '@irisdock/kernel';
import type {CrashRecords} from './crash_records.js';
import type {EndpointRecord} from './endpoint_record.js';
import type {LostRuns} from './lost_runs.js';
import type {RunLease, RunLeases} from './suspect_run.js';

/**
 * How many engines are requested in vain before an attempt runs on a taken one.
 * A content with one crash is most likely sound.
 */
const MAX_DENIALS = 3;
/** Crashes from which a content waits for an engine instead. */
const MIN_CRASHES_TO_WAIT = 2;
/** How long it waits, in ms. */
const MAX_WAIT_MS = 1000;
/** The time between two requests of a content that waits, in ms. */
const RETRY_DELAY_MS = 25;
/** How long the issuer may be silent, in ms: one request that is sent again. */
const MAX_SILENCE_MS = 1;

/** Dependencies of the leases on engines. */
export interface EngineLeaseParts {
  readonly crashes: Pick<
    CrashRecords,
    'countCrashes' | 'hasEvidence' | 'watch'
  >;
  readonly lostRuns: Pick<LostRuns, 'isSuspected'>;
  readonly runLeases: RunLeases;
  readonly clock: Clock;
  readonly log: Logger;
}

/** The lease of one request on the engine of its current attempt. */
export class EngineLease {
  private lease: RunLease | undefined;
  private denials = 0;
  private deniedAt: number | undefined;
  private attempt = new AbortController();

  constructor(
    private readonly parts: EngineLeaseParts,
    private readonly request: {
      readonly content: string;
      readonly requestId: string;
    },
  ) {}

  /**
   * Requests an engine for the next attempt; false if another suspect runs
   * there and the attempt should use another engine. Contents without evidence
   * need no lease: when a failure domain is lost, none of its streams waits.
   */
  async acquire(
    endpoint: EndpointRecord,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {crashes, lostRuns} = this.parts;
    const {content} = this.request;
    if (!crashes.hasEvidence(content)) {
      if (lostRuns.isSuspected(content)) this.acquireOnEvidence(endpoint);
      return true;
    }
    if (this.hasGivenUp()) return true;
    if (await this.poll(endpoint, signal)) return true;
    await this.recordDenial(signal);
    return false;
  }

  /** Releases the lease, if one is held, at the end of an attempt. */
  release(): void {
    this.attempt.abort();
    this.attempt = new AbortController();
    this.lease?.release();
    this.lease = undefined;
    this.denials = 0;
    this.deniedAt = undefined;
  }

  /**
   * Requests the engine later if a crash is recorded while the attempt runs, so
   * that other suspects avoid it.
   */
  private acquireOnEvidence(endpoint: EndpointRecord): void {
    const {crashes} = this.parts;
    const {signal} = this.attempt;
    const stopWatching = crashes.watch(() => {
      if (!crashes.hasEvidence(this.request.content)) return;
      stopWatching();
      void this.poll(endpoint, signal);
    });
    signal.addEventListener('abort', stopWatching, {once: true});
  }

  private async poll(
    {instanceId}: EndpointRecord,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {runLeases, log} = this.parts;
    const {content, requestId} = this.request;
    const {attempt} = this;
    const outcome = await runLeases.acquire({
      content: `engine/${instanceId}`,
      signal,
      maxWaitMs: 0,
      maxSilenceMs: MAX_SILENCE_MS,
      isNeeded: () => true,
    });
    log.writeInfo('Requested the lease on an engine.', {
      request: requestId,
      content,
      endpoint: instanceId,
      outcome: outcome.kind,
    });
    if (outcome.kind === 'granted') {
      if (attempt.signal.aborted) outcome.lease.release();
      else this.lease = outcome.lease;
    }
    return outcome.kind !== 'held';
  }

  private async recordDenial(signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    this.denials++;
    this.deniedAt ??= clock.getNow();
    if (this.denials < MAX_DENIALS) return;
    if (!this.hasGivenUp()) await clock.wait(RETRY_DELAY_MS, signal);
  }

  private hasGivenUp(): boolean {
    const {clock, crashes} = this.parts;
    if (this.denials < MAX_DENIALS) return false;
    const isWaiting =
      crashes.countCrashes(this.request.content) >= MIN_CRASHES_TO_WAIT;
    const deniedAt = this.deniedAt ?? clock.getNow();
    return !isWaiting || clock.getNow() - deniedAt >= MAX_WAIT_MS;
  }
}
