/**
 * Relays one stream to other hosts, from the event after the last one that the
 * caller has.
 */
import type {ServerSentEvent} from '@irisdock/decisions';
import {
  RelayHandover,
  type LeavableAttempt,
  type RelayRetries,
} from './relay_handover.js';
import {hasTaken, RelayedAttempt} from './relayed_attempt.js';
import {
  MAX_RELAY_HOSTS,
  type RelayedRequest,
  type RelayHost,
} from './request_relay.js';
import type {ServingParts} from './serving_parts.js';
import type {AttemptListener, AttemptResult} from './stream_attempt.js';
import type {Silence} from './silence_detector.js';
import type {StreamSink} from './stream_sink.js';

/** The result of relaying a stream: of its attempt, or no host took it. */
export type RelayedStreamResult = AttemptResult | {readonly kind: 'none'};

/** Dependencies of a relayed stream. */
export interface RelayedStreamParts {
  readonly serving: ServingParts;
  readonly sink: StreamSink;
  readonly retries: RelayRetries;
  /**
   * Creates the request for the next host.
   *
   * @param running How many attempts run that are not counted yet.
   */
  readonly createRequest: (running: number) => RelayedRequest;
}

/** Relays one stream. */
export class RelayedStream {
  private readonly relayed: RelayedRequest;
  private readonly handover: RelayHandover;

  constructor(private readonly parts: RelayedStreamParts) {
    const {serving, retries} = parts;
    this.relayed = parts.createRequest(0);
    const {request, service} = this.relayed;
    this.handover = new RelayHandover({
      serving,
      request,
      service,
      retries,
      createBeside: (host) => this.createAttempt(parts.createRequest(1), host),
    });
  }

  /** Whether an attempt runs that no other one precedes any more. */
  get hasNext(): boolean {
    return this.handover.hasBeside;
  }

  /** Starts to look for a host that continues a stream of a silent engine. */
  startBeside(silent: LeavableAttempt, silence: Silence): void {
    this.handover.start(silent, silence);
  }

  /** Ends the search and the attempt beside the one that goes on. */
  stopBeside(): void {
    this.handover.stop();
  }

  /** Relays the stream until it has ended or was lost on the way. */
  async run(): Promise<RelayedStreamResult> {
    const {relayed} = this;
    const {serving, createRequest} = this.parts;
    const next = this.handover.takeBeside();
    if (next !== undefined) {
      const result = await this.runFrom(next);
      if (hasTaken(serving, result)) return result;
    }
    const {service, request} = relayed;
    const tried = new Set<string>();
    while (tried.size < MAX_RELAY_HOSTS) {
      const host = serving.relay.choose(service, tried);
      if (host === undefined || request.exchange.signal.aborted) break;
      tried.add(host.name);
      const attempt = this.createAttempt(createRequest(0), host);
      const result = await this.runFrom(attempt);
      if (hasTaken(serving, result)) return result;
    }
    return {kind: 'none'};
  }

  /** Runs an attempt to its end, and those that take over from it. */
  private async runFrom(first: RelayedAttempt): Promise<AttemptResult> {
    const {sink, retries} = this.parts;
    let attempt = first;
    for (;;) {
      attempt.open();
      const result = await attempt.run();
      const next = this.handover.takeNext(result);
      if (next === undefined) return result;
      if (hasTaken(this.parts.serving, result)) retries.record(result);
      if (!sink.isResumable) {
        next.end('the stream cannot resume');
        return result;
      }
      sink.markFailover();
      attempt = next;
    }
  }

  private createAttempt(
    relayed: RelayedRequest,
    host: RelayHost,
  ): RelayedAttempt {
    const {serving, sink} = this.parts;
    const listener: AttemptListener = {
      handleHead: (status, lines) => {
        sink.setHead(status, lines);
      },
      handleEvents: (events) => this.passToCaller(attempt, events),
      handleSuspected: (silence) => {
        this.handover.start(attempt, silence);
      },
      handleRecovered: () => {
        this.handover.stop();
      },
    };
    const attempt: RelayedAttempt = new RelayedAttempt(
      serving,
      relayed,
      host,
      sink,
      listener,
    );
    return attempt;
  }

  private passToCaller(
    attempt: RelayedAttempt,
    events: readonly ServerSentEvent[],
  ): Promise<void> | undefined {
    const {fault, drained} = this.parts.sink.passEvents(events);
    if (fault !== undefined) attempt.end(fault);
    return drained;
  }
}
