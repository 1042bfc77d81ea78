/**
 * Finds where a relayed stream goes on while its host is silent. The silent
 * attempt stays open and the next one runs beside it. The first of the two that
 * brings a new event continues the stream, and the other one is closed.
 */
import {getErrorText} from '@irisdock/kernel';
import {waitOverlap} from './attempt_overlap.js';
import {hasTaken, type RelayedAttempt} from './relayed_attempt.js';
import type {AdmittedRequest} from './caller_exchange.js';
import type {RelayHost} from './request_relay.js';
import type {ServingParts} from './serving_parts.js';
import type {Silence} from './silence_detector.js';
import type {AttemptResult} from './stream_attempt.js';
import type {RetryDenial} from './stream_retries.js';

/** The time between two searches, in ms. */
const SEARCH_INTERVAL_MS = 50;
/** How long the next host may take to answer a probe, in ms. */
const PROBE_TIMEOUT_MS = 150;

/** Decides on and counts the attempts that run beside a silent one. */
export interface RelayRetries {
  /** Returns why no attempt may run beside the current one. */
  findDenial(): RetryDenial | undefined;
  /** Takes a retry from the budget; false if it grants none. */
  take(): boolean;
  /** Counts an attempt that ended early. */
  record(result: AttemptResult): void;
}

/** An attempt that is silent, at another host or at an engine. */
export interface LeavableAttempt {
  /** The host that runs it; undefined if this one does. */
  readonly host: RelayHost | undefined;
  /** Closes the attempt, as it is left for another host. */
  endSilent(silence: Silence, next: RelayHost): void;
}

/** Dependencies of the handover. */
export interface RelayHandoverParts {
  readonly serving: Pick<ServingParts, 'clock' | 'log' | 'relay'>;
  readonly request: AdmittedRequest;
  readonly service: string;
  readonly retries: RelayRetries;
  /** Creates an attempt that runs beside the current one. */
  readonly createBeside: (host: RelayHost) => RelayedAttempt;
}

/** Hands one relayed stream over from silent hosts. */
export class RelayHandover {
  private search: AbortController | undefined;
  private beside: RelayedAttempt | undefined;
  /** Whether a retry was taken that no attempt has used yet. */
  private hasRetry = false;

  constructor(private readonly parts: RelayHandoverParts) {}

  /** Whether an attempt runs beside the current one, or after it. */
  get hasBeside(): boolean {
    return this.beside !== undefined;
  }

  /** Starts to look for the host that continues the stream. */
  start(silent: LeavableAttempt, silence: Silence): void {
    this.stop();
    const search = new AbortController();
    this.search = search;
    const {signal} = this.parts.request.exchange;
    const stopSignal = AbortSignal.any([search.signal, signal]);
    this.run(silent, silence, stopSignal).catch((thrown: unknown) => {
      this.writeFailure(thrown);
    });
  }

  /** Ends the search and the attempt beside the one that goes on. */
  stop(): void {
    this.search?.abort();
    this.search = undefined;
    const {beside} = this;
    this.beside = undefined;
    if (beside === undefined) return;
    beside.end('the silent host goes on');
    beside
      .run()
      .then((result) => {
        this.record(result);
      })
      .catch((thrown: unknown) => {
        this.writeFailure(thrown);
      });
  }

  /**
   * Takes the attempt that continues the stream after the current one ended;
   * undefined if there is none.
   */
  takeNext(result: AttemptResult): RelayedAttempt | undefined {
    const isOver = result.kind === 'ended' || result.kind === 'stopped';
    if (isOver) {
      this.stop();
      return undefined;
    }
    return this.takeBeside();
  }

  /** Takes the attempt that ran beside one that has ended, if there is one. */
  takeBeside(): RelayedAttempt | undefined {
    const {beside} = this;
    this.beside = undefined;
    this.stop();
    if (beside !== undefined) this.hasRetry = false;
    return beside;
  }

  private async run(
    silent: LeavableAttempt,
    silence: Silence,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock} = this.parts.serving;
    const failed = new Set<string>();
    if (silent.host !== undefined) failed.add(silent.host.name);
    const unanswered = new Set<string>();
    while (!signal.aborted) {
      const host = await this.findHost(failed, unanswered, signal);
      if (host !== undefined && (await this.tryHost(host, failed, signal))) {
        silent.endSilent(silence, host);
        return;
      }
      await clock.wait(SEARCH_INTERVAL_MS, signal);
    }
  }

  /** Finds a host that answers a probe and to which a retry may go. */
  private async findHost(
    failed: ReadonlySet<string>,
    unanswered: Set<string>,
    signal: AbortSignal,
  ): Promise<RelayHost | undefined> {
    const {serving, service, retries} = this.parts;
    const {relay} = serving;
    if (retries.findDenial() !== undefined) return undefined;
    const host = relay.choose(service, new Set([...failed, ...unanswered]));
    if (host === undefined) {
      // Those that were silent may answer by now.
      unanswered.clear();
      return undefined;
    }
    const record = relay.createRecord(host, service);
    const answer = await relay.prober.probeStrictly(record, PROBE_TIMEOUT_MS);
    if (answer !== 'answers') {
      unanswered.add(host.name);
      return undefined;
    }
    if (signal.aborted || retries.findDenial() !== undefined) return undefined;
    this.hasRetry ||= retries.take();
    return this.hasRetry ? host : undefined;
  }

  /** Runs an attempt beside the silent one; whether it takes over. */
  private async tryHost(
    host: RelayHost,
    failed: Set<string>,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {clock} = this.parts.serving;
    const beside = this.parts.createBeside(host);
    this.beside = beside;
    const result = await Promise.race([
      beside.run(),
      beside.continued,
      waitOverlap(clock, signal).then(() => undefined),
    ]);
    if (signal.aborted) return false;
    if (result === undefined || result.kind === 'ended') return true;
    this.beside = undefined;
    this.record(result);
    // One that declined may take the stream later.
    if (hasTaken(this.parts.serving, result)) failed.add(host.name);
    return false;
  }

  /** Counts an attempt that did not take over. */
  private record(result: AttemptResult): void {
    if (!hasTaken(this.parts.serving, result)) return;
    this.hasRetry = false;
    this.parts.retries.record(result);
  }

  /** The stream stays at its silent host, as without a next one. */
  private writeFailure(thrown: unknown): void {
    const {serving, request} = this.parts;
    serving.log.writeError('The search for the next host failed.', {
      request: request.requestId,
      error: getErrorText(thrown),
    });
  }
}
