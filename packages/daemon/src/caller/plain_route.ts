/** `/s/<service>/...`: forwards calls to plain services. */
import type {IncomingHttpHeaders} from 'node:http';
import {pipeline} from 'node:stream/promises';
import {err, ok, type Result} from 'neverthrow';
import {
  createHopByHopPredicate,
  type HeaderPredicate,
  type KnownError,
} from '@irisdock/kernel';
import type {PlainAnswer} from '@irisdock/endpoints';
import {sendError, type WebRequest} from '@irisdock/web';
import {createCallerSignal} from '../answer/caller_signal.js';
import {DAEMON_ERRORS} from '../errors.js';
import type {Configuration} from '../services/configuration.js';
import type {Ownership} from '../services/ownership.js';
import type {PlainRequest, PlainCalls} from '../services/plain_calls.js';
import {isEndToEnd, REQUEST_ID_HEADER, TEAM_HEADER} from './headers.js';
import {sendOwnerRefusal} from './owner_refusal.js';
import {readRequestParts} from './request_reader.js';
import type {RequestHeaders} from './request_headers.js';
import {findTeamPolicy} from './team_policy.js';

/** The dependencies of the route. */
export interface PlainParts {
  readonly configuration: Configuration;
  readonly ownership: Ownership;
  readonly calls: PlainCalls;
  /** Returns why new requests are refused, if they are. */
  findRefusal(): KnownError | undefined;
  createOwnId(): string;
}

/** Handles calls to plain services. */
export class PlainRoute {
  constructor(private readonly parts: PlainParts) {}

  /** Handles one call. */
  async handle(request: WebRequest): Promise<void> {
    const {response} = request;
    const parts = await readRequestParts(request, () => request.readBody());
    const call = parts.andThen(({headers, body}) =>
      this.createCall(request, headers, body),
    );
    if (call.isErr()) {
      sendError(response, call.error);
      return;
    }
    const answer = await this.parts.calls.serve(call.value);
    const {id} = call.value.id;
    if (answer.isErr()) {
      sendOwnerRefusal(request, answer.error, {[REQUEST_ID_HEADER]: id});
      return;
    }
    await sendResponse(request, answer.value, id);
  }

  private createCall(
    request: WebRequest,
    headers: RequestHeaders,
    body: Buffer,
  ): Result<PlainRequest, KnownError> {
    const refusal = this.parts.findRefusal();
    if (refusal !== undefined) return err(refusal);
    const {configuration, ownership} = this.parts;
    const service = request.getParameter('service');
    const spec = configuration.findSpec('service', service);
    if (spec?.type !== 'plain') {
      return err(DAEMON_ERRORS.create('unknown_service', {service}));
    }
    const policy = findTeamPolicy(configuration, headers.team, service);
    if (policy.isErr()) return err(policy.error);
    const {team, weight, maxInFlight} = policy.value;
    const id = headers.requestId ?? this.parts.createOwnId();
    return ok({
      id: ownership.parseId(id),
      service,
      spec,
      team,
      weight,
      maxInFlight,
      maxQueueMs: Math.min(spec.maxQueueMs, headers.deadlineMs ?? Infinity),
      repeatable: headers.repeatable ?? spec.repeatable,
      call: {
        method: request.message.method ?? 'GET',
        path: `/${request.getParameter('rest')}${request.url.search}`,
        headers: {...listForwardedHeaders(request), [REQUEST_ID_HEADER]: id},
        body,
      },
      signal: createCallerSignal(request.response),
    });
  }
}

/** Headers of callers that endpoints don't get, or get with another value. */
const REPLACED: ReadonlySet<string> = new Set(['host', TEAM_HEADER]);

/** Creates a filter for the headers of a message that are not forwarded. */
function createHopByHopFilter({
  connection = '',
}: IncomingHttpHeaders): HeaderPredicate {
  return createHopByHopPredicate([connection], isEndToEnd);
}

function listForwardedHeaders({message}: WebRequest): Record<string, string> {
  const {headers} = message;
  const isHopByHop = createHopByHopFilter(headers);
  const forwarded: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || isHopByHop(name)) continue;
    if (REPLACED.has(name)) continue;
    forwarded[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return forwarded;
}

async function sendResponse(
  request: WebRequest,
  answer: PlainAnswer,
  id: string,
): Promise<void> {
  const {response} = request;
  const isHopByHop = createHopByHopFilter(answer.headers);
  for (const [name, value] of Object.entries(answer.headers)) {
    if (value === undefined || isHopByHop(name)) continue;
    response.setHeader(name, value);
  }
  response.setHeader(REQUEST_ID_HEADER, id);
  // The endpoint may have been killed amid a body that ends with its
  // connection, so the caller gets it without framing as well.
  if (!answer.isFramed) {
    response.useChunkedEncodingByDefault = false;
    // An end in order would complete it. The pipeline, which listens later,
    // destroys the response.
    answer.body.once('error', () => response.socket?.resetAndDestroy());
  }
  response.writeHead(answer.status);
  try {
    await pipeline(answer.body, response);
  } catch {
    // The status is already sent, so closing the connection is the only way to
    // report the failure.
    response.destroy();
  }
}
