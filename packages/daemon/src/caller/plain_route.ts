/** `/s/<service>/...`: calls to plain services, passed on. */
import {pipeline} from 'node:stream/promises';
import {err, ok, type Result} from 'neverthrow';
import type {KnownError} from '@irisdock/kernel';
import type {PlainAnswer} from '@irisdock/endpoints';
import {sendError, type WebRequest} from '@irisdock/web';
import {createCallerSignal} from '../answer/caller_signal.js';
import {DAEMON_ERRORS} from '../errors.js';
import type {Configuration} from '../services/configuration.js';
import type {Ownership} from '../services/ownership.js';
import type {PlainRequest, PlainCalls} from '../services/plain_calls.js';
import {REQUEST_ID_HEADER, TEAM_HEADER} from './headers.js';
import {sendOwnerRefusal} from './owner_answer.js';
import {readAskParts} from './ask_reader.js';
import type {RequestHeaders} from './request_headers.js';
import {findTeamTerms} from './team_terms.js';

// Headers that concern one connection only, and those set anew.
const NOT_PASSED = new Set([
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** What the route works with. */
export interface PlainParts {
  readonly configuration: Configuration;
  readonly ownership: Ownership;
  readonly calls: PlainCalls;
  /** Gives the reason why no new work is taken, if there is one. */
  findBar(): KnownError | undefined;
  createOwnId(): string;
}

/** Handles calls to plain services. */
export class PlainRoute {
  constructor(private readonly parts: PlainParts) {}

  /** Answers one call. */
  async handle(request: WebRequest): Promise<void> {
    const {response} = request;
    const parts = await readAskParts(request, () => request.readBody());
    const ask = parts.andThen(({headers, body}) =>
      this.createAsk(request, headers, body),
    );
    if (ask.isErr()) {
      sendError(response, ask.error);
      return;
    }
    const answer = await this.parts.calls.serve(ask.value);
    const {id} = ask.value.id;
    if (answer.isErr()) {
      sendOwnerRefusal(request, answer.error, {[REQUEST_ID_HEADER]: id});
      return;
    }
    await passAnswer(request, answer.value, id);
  }

  private createAsk(
    request: WebRequest,
    headers: RequestHeaders,
    body: Buffer,
  ): Result<PlainRequest, KnownError> {
    const bar = this.parts.findBar();
    if (bar !== undefined) return err(bar);
    const {configuration, ownership} = this.parts;
    const service = request.getParameter('service');
    const spec = configuration.findSpec('service', service);
    if (spec?.type !== 'plain') {
      return err(DAEMON_ERRORS.create('unknown_service', {service}));
    }
    const terms = findTeamTerms(configuration, headers.team, service);
    if (terms.isErr()) return err(terms.error);
    const {team, weight, maxInFlight} = terms.value;
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
        headers: {...listPassed(request), [REQUEST_ID_HEADER]: id},
        body,
      },
      signal: createCallerSignal(request.response),
    });
  }
}

function listPassed(request: WebRequest): Record<string, string> {
  const passed: Record<string, string> = {};
  for (const [name, value] of Object.entries(request.message.headers)) {
    if (value === undefined || NOT_PASSED.has(name)) continue;
    if (name === TEAM_HEADER) continue;
    passed[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return passed;
}

async function passAnswer(
  request: WebRequest,
  answer: PlainAnswer,
  id: string,
): Promise<void> {
  const {response} = request;
  for (const [name, value] of Object.entries(answer.headers)) {
    if (value === undefined || NOT_PASSED.has(name)) continue;
    response.setHeader(name, value);
  }
  response.setHeader(REQUEST_ID_HEADER, id);
  response.writeHead(answer.status);
  try {
    await pipeline(answer.body, response);
  } catch {
    // The caller sees the cut connection; there is no other way to tell it.
    response.destroy();
  }
}
