/**
 * One attempt of a stream at another host. Its answer is held until it is the
 * stream's current one.
 */
import {AnswerGate} from './answer_gate.js';
import {decodeFraming} from './relayed_framing.js';
import type {RelayedRequest, RelayHost} from './request_relay.js';
import type {ServingParts} from './serving_parts.js';
import type {Silence} from './silence_detector.js';
import {
  StreamAttempt,
  type AttemptListener,
  type AttemptResult,
  type AttemptSend,
} from './stream_attempt.js';
import type {StreamSink} from './stream_sink.js';

/** Runs one attempt of a stream at another host. */
export class RelayedAttempt {
  private readonly attempt: StreamAttempt;
  private readonly gate: AnswerGate;
  private running: Promise<AttemptResult> | undefined;

  constructor(
    private readonly parts: ServingParts,
    private readonly relayed: RelayedRequest,
    readonly host: RelayHost,
    private readonly sink: Pick<
      StreamSink,
      'decideContinuation' | 'lastEventId' | 'setResumedAfter'
    >,
    listener: AttemptListener,
  ) {
    const {relay} = parts;
    const {request, route, service, resumption} = relayed;
    const endpoint = relay.createRecord(host, service);
    const resumedAfter = resumption?.lastEventId;
    const gate = new AnswerGate(listener, sink, resumedAfter, (detail) => {
      this.end(detail);
    });
    this.gate = gate;
    this.attempt = new StreamAttempt(
      {...parts, client: relay.client},
      relay.prober,
      {endpoint, backup: undefined, kvCacheSource: undefined},
      // The other host deals with the silence of its endpoints.
      {...route, toleratesSilence: true},
      {
        handleHead: (status, lines) => {
          gate.handleHead(status, lines);
        },
        handleEvents: (events) => {
          relay.prober.recordSign(endpoint);
          return gate.handleEvents(events);
        },
        handleSuspected: (silence) => {
          gate.handleSuspected(silence);
        },
        handleRecovered: (silentMs) => {
          gate.handleRecovered(silentMs);
        },
      },
      request.exchange.signal,
    );
  }

  /** Resolves once its held events continue the stream. */
  get continued(): Promise<undefined> {
    return this.gate.continued;
  }

  /** Makes it the stream's current attempt, whose answer is passed on. */
  open(): void {
    this.gate.open();
  }

  /** Runs the attempt to its end; further calls give the same result. */
  run(): Promise<AttemptResult> {
    this.running ??= this.runOnce();
    return this.running;
  }

  /** Ends the attempt as lost. */
  end(detail: string): void {
    this.attempt.end(detail);
  }

  /** Leaves a silent host, which may be sound, for another one. */
  endSilent(silence: Silence, next: RelayHost): void {
    this.parts.log.writeInfo('A relayed stream leaves a silent host.', {
      request: this.relayed.request.requestId,
      host: this.host.name,
      to: next.name,
      detail: silence.detail,
    });
    this.attempt.endSilent(silence);
  }

  private async runAttempt(send: AttemptSend): Promise<AttemptResult> {
    const result = await this.attempt.run(send);
    if (result.kind !== 'failed') return result;
    return {kind: 'failed', answer: decodeFraming(result.answer)};
  }

  private async runOnce(): Promise<AttemptResult> {
    const {parts, relayed, host} = this;
    const {relay, log, clock} = parts;
    const {request, service} = relayed;
    const startedAt = clock.getNow();
    const result = await relay.countSend(host, () =>
      this.runAttempt(relay.createSend(host, relayed)),
    );
    const isTaken = hasTaken(parts, result);
    log.writeInfo('Relayed a stream to another host.', {
      request: request.requestId,
      to: host.name,
      result: isTaken ? result.kind : 'declined',
      detail: 'detail' in result ? result.detail : undefined,
      lastEventId: this.sink.lastEventId,
      ms: Math.round(clock.getNow() - startedAt),
    });
    const status = result.kind === 'failed' ? result.answer.status : undefined;
    if (!isTaken) relay.recordDecline(host, service, status);
    else if (result.kind === 'lost') relay.dropResult(host, service);
    else relay.recordResult(host, service, true);
    return result;
  }
}

/** Whether a host took a stream, or refused it for all hosts. */
export function hasTaken(
  {relay}: Pick<ServingParts, 'relay'>,
  result: AttemptResult,
): boolean {
  if (result.kind === 'refused') return false;
  if (result.kind === 'lost') return result.mayHaveRun;
  return result.kind !== 'failed' || !relay.hasDeclined(result.answer.lines);
}
