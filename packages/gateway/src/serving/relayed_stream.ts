/**
 * Relays one stream to another host, from the event after the last one that the
 * caller has.
 */
import type {AttemptSend, AttemptResult} from './stream_attempt.js';
import {StreamAttempt} from './stream_attempt.js';
import {
  MAX_RELAY_HOSTS,
  type RelayedRequest,
  type RelayHost,
} from './request_relay.js';
import type {ServingParts} from './serving_parts.js';
import type {StreamSink} from './stream_sink.js';

/** The result of relaying a stream: of its attempt, or no host took it. */
export type RelayedStreamResult = AttemptResult | {readonly kind: 'none'};

/**
 * Relays a stream until it has ended or was lost on the way.
 *
 * @param canLeave Whether a silent host may be left for another one; takes the
 *     retry for it.
 */
export async function sendRelayedStream(
  parts: ServingParts,
  relayed: RelayedRequest,
  sink: StreamSink,
  canLeave: () => boolean,
): Promise<RelayedStreamResult> {
  const {relay, log, clock} = parts;
  const {service, request} = relayed;
  const tried = new Set<string>();
  while (tried.size < MAX_RELAY_HOSTS) {
    const host = relay.choose(service, tried);
    if (host === undefined || request.exchange.signal.aborted) break;
    tried.add(host.name);
    const startedAt = clock.getNow();
    const result = await relay.countSend(host, () =>
      runAttempt(parts, relayed, sink, host, canLeave),
    );
    const isTaken = hasTaken(parts, result);
    log.writeInfo('Relayed a stream to another host.', {
      request: request.requestId,
      to: host.name,
      result: isTaken ? result.kind : 'declined',
      detail: 'detail' in result ? result.detail : undefined,
      lastEventId: sink.lastEventId,
      ms: Math.round(clock.getNow() - startedAt),
    });
    if (isTaken && result.kind === 'lost') relay.dropResult(host, service);
    else relay.recordResult(host, service, isTaken);
    if (isTaken) return result;
  }
  return {kind: 'none'};
}

/** Whether the host took the stream, or refused it for all hosts. */
function hasTaken({relay}: ServingParts, result: AttemptResult): boolean {
  if (result.kind === 'refused') return false;
  if (result.kind === 'lost') return result.mayHaveRun;
  return result.kind !== 'failed' || !relay.hasDeclined(result.answer.lines);
}

async function runAttempt(
  parts: ServingParts,
  relayed: RelayedRequest,
  sink: StreamSink,
  host: RelayHost,
  canLeave: () => boolean,
): Promise<AttemptResult> {
  const {relay} = parts;
  const {request, route, service} = relayed;
  const endpoint = relay.createRecord(host, service);
  const attempt: StreamAttempt = new StreamAttempt(
    {...parts, client: relay.client},
    relay.prober,
    {endpoint, backup: undefined, kvCacheSource: undefined},
    // The other host deals with the silence of its endpoints.
    {...route, toleratesSilence: true},
    {
      handleHead: (status, lines) => {
        sink.setHead(status, lines);
      },
      handleEvents: (events) => {
        relay.prober.recordSign(endpoint);
        const {fault, drained} = sink.passEvents(events);
        if (fault !== undefined) attempt.end(fault);
        return drained;
      },
      handleSuspected: (silence) => {
        if (canLeave()) attempt.endSilent(silence);
      },
      handleRecovered: () => undefined,
    },
    request.exchange.signal,
  );
  const send: AttemptSend = relay.createSend(host, relayed);
  return attempt.run(send);
}
