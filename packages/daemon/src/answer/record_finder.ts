/**
 * Finds the record for an incoming request: the one this host has, a new one
 * for a new request, or a new one that takes over an answer started elsewhere.
 */
import type {Clock, KnownError, Random} from '@irisdock/kernel';
import {
  getTakeoverCount,
  isRecordFit,
  type ParsedRequestId,
  type ResumeData,
} from '@irisdock/decisions';
import {err, ok, type Result} from 'neverthrow';
import {DAEMON_ERRORS} from '../errors.js';
import type {OwnerRefusal, Ownership} from '../services/ownership.js';
import type {RequestLedger} from './request_ledger.js';
import {RequestRecord, type GenerationRequest} from './request_record.js';

/** A caller's request for text, parsed and checked. */
export interface StreamRequest {
  readonly id: ParsedRequestId;
  readonly request: GenerationRequest;
  /** The offset of the first token that the caller still needs. */
  readonly fromOffset: number;
  /** Whether the caller resumes an answer that it received in part. */
  readonly resuming: boolean;
  readonly resumeData: ResumeData | undefined;
  /** The text before `fromOffset`, if the caller sent it. */
  readonly receivedText: string | undefined;
}

/** The dependencies of a record finder. */
export interface RecordFinderParts {
  readonly ledger: RequestLedger<RequestRecord>;
  readonly ownership: Ownership;
  readonly clock: Clock;
  readonly random: Random;
}

/** Record names are random below this bound, so that they don't collide. */
const RECORD_NAME_RANGE = 2 ** 40;

/** Finds or creates the records of requests. */
export class RecordFinder {
  constructor(private readonly parts: RecordFinderParts) {}

  /** Finds or creates a request's record, or returns the refusal. */
  find(incoming: StreamRequest): Result<RequestRecord, OwnerRefusal> {
    const {request, resumeData} = incoming;
    const own = this.parts.ledger.find(request.id);
    // An answer that was continued elsewhere is taken over again, as if this
    // host had no record of it.
    const record = own && isResumable(own, incoming) ? own : undefined;
    const permission = this.parts.ownership.check({
      id: incoming.id,
      repeatable: request.repeatable,
      resuming: incoming.resuming,
      hasResumeData: resumeData !== undefined,
      ledger: record === undefined ? undefined : toLedgerState(record),
    });
    if (permission.isErr()) return err(permission.error);
    const refusal = this.findMismatch(incoming, own, record);
    if (refusal !== undefined) return err({error: refusal});
    if (permission.value === 'join' && record !== undefined) {
      return ok(record);
    }
    if (permission.value === 'start') return this.createStart(incoming, own);
    return ok(this.createTakeover(incoming, own));
  }

  /**
   * Returns why the request contradicts what is known of it, if it does.
   *
   * @param own The record of the request on this host.
   * @param record The same record, if the caller can resume from it.
   */
  private findMismatch(
    incoming: StreamRequest,
    own: RequestRecord | undefined,
    record: RequestRecord | undefined,
  ): KnownError | undefined {
    const {digest, id} = incoming.request;
    const {resumeData} = incoming;
    const others = [own?.request.digest, resumeData?.digest];
    const sameBody = others.every((other) => (other ?? digest) === digest);
    const sameId = (resumeData?.request ?? id) === id;
    if (!sameBody || !sameId) return DAEMON_ERRORS.create('resume_mismatch');
    if (record === undefined) return undefined;
    if (incoming.fromOffset > record.nextOffset) {
      return DAEMON_ERRORS.create('resume_mismatch');
    }
    if (incoming.fromOffset >= record.firstOffset) return undefined;
    if (record.state === 'ended') {
      return DAEMON_ERRORS.create('answer_forgotten');
    }
    return DAEMON_ERRORS.create('resume_text_needed');
  }

  private createStart(
    incoming: StreamRequest,
    own: RequestRecord | undefined,
  ): Result<RequestRecord, OwnerRefusal> {
    const {request, fromOffset, receivedText} = incoming;
    if (fromOffset > 0 && receivedText === undefined) {
      return err({error: DAEMON_ERRORS.create('resume_text_needed')});
    }
    const record = this.createRecord(request, fromOffset, receivedText ?? '');
    if (fromOffset === 0) return ok(record);
    // An answer started elsewhere is continued under a generation number above
    // those of the earlier host.
    record.mayHaveRun = true;
    record.takeover = (own?.takeover ?? 0) + 1;
    own?.lock.stop();
    return ok(record);
  }

  /**
   * Creates a record that takes over an answer started elsewhere.
   *
   * @param own A record on this host that the caller has left behind.
   */
  private createTakeover(
    incoming: StreamRequest,
    own: RequestRecord | undefined,
  ): RequestRecord {
    const {fromOffset, resumeData} = incoming;
    const request = resolveRequest(incoming);
    const text = fromOffset === 0 ? '' : incoming.receivedText;
    const record = this.createRecord(request, fromOffset, text);
    record.mayHaveRun = true;
    const before = getTakeoverCount(resumeData?.generation ?? 0);
    record.takeover = Math.max(before, own?.takeover ?? 0) + 1;
    record.endpoint = resumeData?.endpoint ?? '';
    // If its driver still runs, it serves a connection the caller abandoned.
    own?.lock.stop();
    return record;
  }

  private createRecord(
    request: GenerationRequest,
    fromOffset: number,
    textBefore: string | undefined,
  ): RequestRecord {
    const {random, clock} = this.parts;
    const name = random.getInt(RECORD_NAME_RANGE).toString(36);
    const record = new RequestRecord(request, name, fromOffset, textBefore);
    this.parts.ledger.add(request.id, record, clock.getNow());
    return record;
  }
}

/** Tells whether a caller can resume from a record. */
function isResumable(own: RequestRecord, incoming: StreamRequest): boolean {
  return isRecordFit({
    fromOffset: incoming.fromOffset,
    callerRecord: incoming.resumeData?.record,
    receivedText: incoming.receivedText,
    ownRecord: own.name,
    ownText: own.getTextBefore(incoming.fromOffset),
  });
}

function toLedgerState(record: RequestRecord): 'ended' | 'running' {
  return record.state === 'ended' ? 'ended' : 'running';
}

/**
 * Binds a request to the model version that began its answer. The service may
 * have another one by now, whose text would not fit.
 */
function resolveRequest({
  request,
  resumeData,
}: StreamRequest): GenerationRequest {
  const {spec} = request;
  const modelVersion = resumeData?.modelVersion ?? spec.modelVersion;
  return {...request, spec: {...spec, modelVersion}};
}
