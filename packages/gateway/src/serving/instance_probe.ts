/**
 * Probes whether one instance of an endpoint still runs: it answers, its
 * address refuses connections, or another process answers there.
 */
import {RunningTimeout, type RunningClock} from '@irisdock/kernel';
import type {
  EndpointClient,
  EndpointResponse,
} from '../channels/endpoint_client.js';
import {MISDIRECTED_STATUS} from '../channels/response_check.js';
import type {HeaderCodec, HeaderLines} from '../model/request_metadata.js';
import type {GatewayConfiguration} from '../services/configuration.js';
import type {EndpointRecord} from './endpoint_record.js';

/** The result of one probe. */
export type ProbeResult = 'answers' | 'ended' | 'unknown';

/** The timeout of a probe, in ms; a running endpoint takes a few ms. */
const PROBE_TIMEOUT_MS = 200;
/**
 * A probe may use a kept-alive connection to an exited endpoint that this side
 * has not closed yet; the next attempt opens a new connection.
 */
const MAX_PROBE_ATTEMPTS = 4;
/** The status of a process that has no report at the path. */
const NOT_FOUND_STATUS = 404;

/** Dependencies of the probe. */
export interface InstanceProbeParts {
  readonly client: Pick<EndpointClient, 'admit' | 'send'>;
  readonly codec: Pick<HeaderCodec, 'encodeRequest' | 'reportPath'>;
  readonly configuration: Pick<GatewayConfiguration, 'findService'>;
  readonly clock: RunningClock;
}

/** Probes an instance once. */
export async function probeInstance(
  parts: InstanceProbeParts,
  endpoint: EndpointRecord,
): Promise<ProbeResult> {
  const timeout = new RunningTimeout(parts.clock, PROBE_TIMEOUT_MS);
  try {
    return await probeUntilAborted(parts, endpoint, timeout.signal);
  } finally {
    timeout.close();
  }
}

async function probeUntilAborted(
  parts: InstanceProbeParts,
  endpoint: EndpointRecord,
  signal: AbortSignal,
): Promise<ProbeResult> {
  const {client, codec} = parts;
  for (let tries = 0; tries < MAX_PROBE_ATTEMPTS && !signal.aborted; tries++) {
    const permit = await client.admit(endpoint, 'aside');
    if (permit.kind === 'held') return 'unknown';
    const answer = await client.send({
      permit,
      requestId: undefined,
      method: 'GET',
      path: codec.reportPath,
      lines: createHeaderLines(codec, endpoint),
      body: Buffer.alloc(0),
      signal,
    });
    if (answer.kind === 'answer') {
      void answer.dropBody();
      return isOtherProcess(parts, endpoint, answer) ? 'ended' : 'answers';
    }
    if (answer.isRefused) return 'ended';
  }
  return 'unknown';
}

function createHeaderLines(
  codec: InstanceProbeParts['codec'],
  {endpointId, address}: EndpointRecord,
): HeaderLines {
  return codec.encodeRequest([['Host', address]], {
    endpointId,
    team: undefined,
    remainingMs: undefined,
    lastEventId: undefined,
    backupAddress: undefined,
    kvCacheSource: undefined,
  });
}

/** Whether the address of an exited endpoint was taken by another process. */
function isOtherProcess(
  {configuration}: InstanceProbeParts,
  {endpointId, entry}: EndpointRecord,
  {status, metadata}: EndpointResponse,
): boolean {
  if (status === MISDIRECTED_STATUS) return true;
  if ((metadata.endpointId ?? endpointId) !== endpointId) return true;
  const service = configuration.findService(entry.service);
  // An engine that serves requests has a report.
  return service?.engine !== undefined && status === NOT_FOUND_STATUS;
}
