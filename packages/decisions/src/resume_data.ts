/**
 * Resume data: a signed token that a caller sends back so that any host can
 * take over its stream. It names the engine and the generation.
 */
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {DECISION_ERRORS} from './errors.js';
import type {KnownError} from '@irisdock/kernel';
import type {Signer} from './signature.js';

const RESUME_SCHEMA = z.object({
  /** The request id. */
  r: z.string(),
  /** The generation number. */
  g: z.number().int().min(1),
  /** The endpoint that runs the generation, as ip:port. */
  e: z.string(),
  /** A digest of the request's model, prompt and limits. */
  d: z.string(),
  /** The name of the record from which the caller received tokens. */
  n: z.string(),
  /** The model version that began the answer; absent from older hosts. */
  m: z.string().optional(),
});

/** The contents of resume data. */
export interface ResumeData {
  readonly request: string;
  readonly generation: number;
  readonly endpoint: string;
  readonly digest: string;
  readonly record: string;
  /** The model version that began the answer; undefined if not known. */
  readonly modelVersion: string | undefined;
}

/** Formats and signs resume data. */
export function createResumeData(data: ResumeData, signer: Signer): string {
  const {request: r, generation: g, endpoint: e, digest: d, record: n} = data;
  const json = JSON.stringify({r, g, e, d, n, m: data.modelVersion});
  const body = Buffer.from(json).toString('base64url');
  return `${body}.${signer.sign(body)}`;
}

/** Parses resume data and verifies its signature. */
export function parseResumeData(
  text: string,
  signer: Signer,
): Result<ResumeData, KnownError> {
  const [body, signature] = text.split('.');
  const bad = err(DECISION_ERRORS.create('bad_resume_data'));
  if (body === undefined || signature === undefined) return bad;
  if (!signer.hasValidSignature(body, signature)) return bad;
  const json = Buffer.from(body, 'base64url').toString('utf8');
  const parsed = RESUME_SCHEMA.safeParse(JSON.parse(json));
  if (!parsed.success) return bad;
  const {r: request, g: generation, e: endpoint} = parsed.data;
  const {d: digest, n: record, m: modelVersion} = parsed.data;
  return ok({request, generation, endpoint, digest, record, modelVersion});
}
