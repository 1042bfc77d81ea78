/**
 * Finds the record that a request goes on with: the one that this host keeps,
 * a new one for a start, or a new one that takes over what began elsewhere.
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

/** A request as it comes from a caller. */
export interface StreamRequest {
  readonly id: ParsedRequestId;
  readonly request: GenerationRequest;
  /** The offset of the first token that the caller still wants. */
  readonly fromOffset: number;
  /** Whether the caller goes on with an answer it began to get. */
  readonly resuming: boolean;
  readonly resumeData: ResumeData | undefined;
  /** The text before `fromOffset`, when the caller sent it. */
  readonly receivedText: string | undefined;
}

/** What finding works with. */
export interface RecordFinderParts {
  readonly ledger: RequestLedger<RequestRecord>;
  readonly ownership: Ownership;
  readonly clock: Clock;
  readonly random: Random;
}

/** Names of records are drawn below this; two of a request never meet. */
const NAMES = 2 ** 40;

/** Finds records. */
export class RecordFinder {
  constructor(private readonly parts: RecordFinderParts) {}

  /** Finds or creates the record of a request, or gives the reason why not. */
  find(ask: StreamRequest): Result<RequestRecord, OwnerRefusal> {
    const {request, resumeData} = ask;
    const kept = this.parts.ledger.find(request.id);
    // What went on elsewhere is taken over anew, as if nothing were kept.
    const record = kept && isFit(kept, ask) ? kept : undefined;
    const permission = this.parts.ownership.check({
      id: ask.id,
      repeatable: request.repeatable,
      resuming: ask.resuming,
      hasResumeData: resumeData !== undefined,
      ledger: record === undefined ? undefined : toLedgerState(record),
    });
    if (permission.isErr()) return err(permission.error);
    const refusal = this.findMismatch(ask, kept, record);
    if (refusal !== undefined) return err({error: refusal});
    if (permission.value === 'join' && record !== undefined) {
      return ok(record);
    }
    if (permission.value === 'start') return this.createStart(ask, kept);
    return ok(this.createTakeOver(ask, kept));
  }

  /**
   * @param kept What is kept of the request here.
   * @param record The same, when the caller may go on with it.
   */
  private findMismatch(
    ask: StreamRequest,
    kept: RequestRecord | undefined,
    record: RequestRecord | undefined,
  ): KnownError | undefined {
    const {digest, id} = ask.request;
    const {resumeData} = ask;
    const others = [kept?.request.digest, resumeData?.digest];
    const sameBody = others.every((other) => (other ?? digest) === digest);
    const sameId = (resumeData?.request ?? id) === id;
    if (!sameBody || !sameId) return DAEMON_ERRORS.create('resume_mismatch');
    if (record === undefined) return undefined;
    if (ask.fromOffset > record.nextOffset) {
      return DAEMON_ERRORS.create('resume_mismatch');
    }
    if (ask.fromOffset >= record.firstOffset) return undefined;
    if (record.state === 'ended') {
      return DAEMON_ERRORS.create('answer_forgotten');
    }
    return DAEMON_ERRORS.create('resume_text_needed');
  }

  private createStart(
    ask: StreamRequest,
    kept: RequestRecord | undefined,
  ): Result<RequestRecord, OwnerRefusal> {
    const {request, fromOffset, receivedText} = ask;
    if (fromOffset > 0 && receivedText === undefined) {
      return err({error: DAEMON_ERRORS.create('resume_text_needed')});
    }
    const record = this.createRecord(request, fromOffset, receivedText ?? '');
    if (fromOffset === 0) return ok(record);
    // What began elsewhere is continued, at a number above what is usual.
    record.mayHaveRun = true;
    record.takeover = (kept?.takeover ?? 0) + 1;
    kept?.lock.stop();
    return ok(record);
  }

  /** @param kept What is kept of it here, and what the caller left behind. */
  private createTakeOver(
    ask: StreamRequest,
    kept: RequestRecord | undefined,
  ): RequestRecord {
    const {request, fromOffset, resumeData} = ask;
    const text = fromOffset === 0 ? '' : ask.receivedText;
    const record = this.createRecord(request, fromOffset, text);
    record.mayHaveRun = true;
    const before = getTakeoverCount(resumeData?.generation ?? 0);
    record.takeover = Math.max(before, kept?.takeover ?? 0) + 1;
    record.endpoint = resumeData?.endpoint ?? '';
    // Its driver, should it still run, gives to a connection that was left.
    kept?.lock.stop();
    return record;
  }

  private createRecord(
    request: GenerationRequest,
    fromOffset: number,
    textBefore: string | undefined,
  ): RequestRecord {
    const {random, clock} = this.parts;
    const name = random.getInt(NAMES).toString(36);
    const record = new RequestRecord(request, name, fromOffset, textBefore);
    this.parts.ledger.add(request.id, record, clock.getNow());
    return record;
  }
}

/** Tells whether a caller goes on from what is kept. */
function isFit(kept: RequestRecord, ask: StreamRequest): boolean {
  return isRecordFit({
    fromOffset: ask.fromOffset,
    callerRecord: ask.resumeData?.record,
    receivedText: ask.receivedText,
    ownRecord: kept.name,
    ownText: kept.getTextBefore(ask.fromOffset),
  });
}

function toLedgerState(record: RequestRecord): 'ended' | 'running' {
  return record.state === 'ended' ? 'ended' : 'running';
}
