/** `POST /v1/completions`: OpenAI completions, streamed or in one body. */
import {err, ok, type Result} from 'neverthrow';
import type {Clock, KnownError} from '@irisdock/kernel';
import {hashToHex, parseResumeData, type Signer} from '@irisdock/decisions';
import type {GenerationSpec} from '@irisdock/resources';
import {sendError, type WebRequest} from '@irisdock/web';
import * as z from 'zod';
import type {AnswerSink} from '../answer/answer_sink.js';
import {BodySink} from '../answer/body_sink.js';
import type {CompletionHead} from '../answer/completion_format.js';
import {EventSink} from '../answer/event_sink.js';
import type {GenerationRequest} from '../answer/request_record.js';
import {DAEMON_ERRORS} from '../errors.js';
import type {Configuration} from '../services/configuration.js';
import type {Ownership} from '../services/ownership.js';
import type {StreamRequest} from '../answer/record_finder.js';
import type {Streams} from '../services/streams.js';
import {REQUEST_ID_HEADER} from './headers.js';
import {readRequestParts} from './request_reader.js';
import type {RequestHeaders} from './request_headers.js';
import {sendOwnerRefusal} from './owner_refusal.js';
import {findTeamPolicy, type TeamPolicy} from './team_policy.js';

const DEFAULT_MAX_TOKENS = 16;

/** The body; other fields of the OpenAI format are accepted and ignored. */
export const COMPLETION_SCHEMA = z.looseObject({
  model: z.string().min(1),
  prompt: z.string(),
  max_tokens: z.number().int().min(1).default(DEFAULT_MAX_TOKENS),
  stream: z.boolean().default(false),
  n: z.literal(1, 'only one answer a request can be given').optional(),
  best_of: z.literal(1, 'only one answer a request can be given').optional(),
  echo: z.literal(false, 'the prompt cannot be given back').optional(),
  irisdock_adapter: z.string().optional(),
  irisdock_received_text: z.string().optional(),
});
type CompletionBody = z.infer<typeof COMPLETION_SCHEMA>;

/** The dependencies of the route. */
export interface CompletionParts {
  readonly clock: Clock;
  readonly signer: Signer;
  readonly configuration: Configuration;
  readonly ownership: Ownership;
  readonly streams: Streams;
  /** Returns why new requests are refused, if they are. */
  findRefusal(): KnownError | undefined;
  createOwnId(): string;
}

/** Handles `POST /v1/completions`. */
export class CompletionRoute {
  constructor(private readonly parts: CompletionParts) {}

  /** Handles one request. */
  async handle(request: WebRequest): Promise<void> {
    const {response} = request;
    const parts = await readRequestParts(request, () =>
      request.readJson(COMPLETION_SCHEMA),
    );
    if (parts.isErr()) {
      sendError(response, parts.error);
      return;
    }
    const {headers, body} = parts.value;
    const streamRequest = this.createStreamRequest(headers, body);
    if (streamRequest.isErr()) {
      sendError(response, streamRequest.error);
      return;
    }
    const sink = this.createSink(request, body, streamRequest.value);
    const served = await this.parts.streams.serve(streamRequest.value, sink);
    if (served.isOk()) return;
    const {id} = streamRequest.value.request;
    sendOwnerRefusal(request, served.error, {[REQUEST_ID_HEADER]: id});
  }

  private createSink(
    request: WebRequest,
    body: CompletionBody,
    streamRequest: StreamRequest,
  ): AnswerSink {
    const created = Math.floor(this.parts.clock.getWallNow() / 1000);
    const {id} = streamRequest.request;
    const head: CompletionHead = {id, model: body.model, created};
    return body.stream
      ? new EventSink(request.response, head)
      : new BodySink(request.response, head);
  }

  private createStreamRequest(
    headers: RequestHeaders,
    body: CompletionBody,
  ): Result<StreamRequest, KnownError> {
    const refusal = this.parts.findRefusal();
    if (refusal !== undefined) return err(refusal);
    const spec = this.checkModel(body);
    if (spec.isErr()) return err(spec.error);
    const {configuration, ownership, signer} = this.parts;
    const policy = findTeamPolicy(configuration, headers.team, body.model);
    if (policy.isErr()) return err(policy.error);
    const {resumeText, fromOffset} = headers;
    const resume =
      resumeText === undefined
        ? ok(undefined)
        : parseResumeData(resumeText, signer);
    if (resume.isErr()) return err(resume.error);
    const id = headers.requestId ?? this.parts.createOwnId();
    return ok({
      id: ownership.parseId(id),
      request: createRequest(id, headers, body, spec.value, policy.value),
      fromOffset,
      resuming: headers.isResuming,
      resumeData: resume.value,
      receivedText: body.irisdock_received_text,
    });
  }

  private checkModel(body: CompletionBody): Result<GenerationSpec, KnownError> {
    const {model, irisdock_adapter: adapter} = body;
    const spec = this.parts.configuration.findSpec('service', model);
    if (spec?.type !== 'generation') {
      return err(DAEMON_ERRORS.create('unknown_model', {model}));
    }
    if (body.max_tokens > spec.maxTokens) {
      const limit = spec.maxTokens;
      return err(DAEMON_ERRORS.create('too_many_tokens', {limit}));
    }
    if (adapter !== undefined && !spec.adapters.includes(adapter)) {
      return err(DAEMON_ERRORS.create('unknown_adapter', {model, adapter}));
    }
    return ok(spec);
  }
}

function createRequest(
  id: string,
  headers: RequestHeaders,
  body: CompletionBody,
  spec: GenerationSpec,
  policy: TeamPolicy,
): GenerationRequest {
  const {model, prompt, max_tokens: maxTokens} = body;
  const adapter = body.irisdock_adapter;
  const parts = [model, adapter ?? '', maxTokens, prompt];
  return {
    id,
    service: model,
    spec,
    adapter,
    team: policy.team,
    weight: policy.weight,
    maxInFlight: policy.maxInFlight,
    priority: policy.priority,
    prompt,
    maxTokens,
    repeatable: headers.repeatable ?? spec.repeatable,
    maxQueueMs: Math.min(spec.maxQueueMs, headers.deadlineMs ?? Infinity),
    digest: hashToHex(JSON.stringify(parts)),
  };
}
