/**
 * Resume data: what a caller carries so that any host can take its stream
 * over. It names the engine and the generation, and is signed.
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
  /** A digest of the request's model, prompt and bounds. */
  d: z.string(),
  /** The name of the record that its tokens come from. */
  n: z.string(),
});

/** What resume data says. */
export interface ResumeData {
  readonly request: string;
  readonly generation: number;
  readonly endpoint: string;
  readonly digest: string;
  readonly record: string;
}

/** Formats and signs resume data. */
export function createResumeData(data: ResumeData, signer: Signer): string {
  const {request: r, generation: g, endpoint: e, digest: d, record: n} = data;
  const json = JSON.stringify({r, g, e, d, n});
  const body = Buffer.from(json).toString('base64url');
  return `${body}.${signer.sign(body)}`;
}

/** Reads resume data and verifies its signature. */
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
  const {d: digest, n: record} = parsed.data;
  return ok({request, generation, endpoint, digest, record});
}
