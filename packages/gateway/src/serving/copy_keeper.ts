/**
 * Keeps a copy of a running stream's memory on another engine for as long as
 * the stream runs. The engine itself keeps one on the standby that was named
 * when the stream was sent; when that standby is gone, the memory is copied to
 * another one by request, and again every while for what is new.
 */
import {chooseBackup, type EngineRequest} from '@irisdock/decisions';
import type {EngineCall, MemorySource} from '../model/request_terms.js';
import type {EndpointRecord} from './endpoint_record.js';
import type {EngineAnswer} from './engine_caller.js';
import type {ServingParts} from './serving_parts.js';

/** Where a copy is kept, and the name under which it is found there. */
export interface KeptCopy {
  readonly source: MemorySource;
  readonly holder: EndpointRecord;
}

/** How often it is looked whether the standby is still there, in ms. */
const CHECK_MS = 200;
/** Copies lapse after some 4 s and are renewed well before, in ms. */
const RENEW_MS = 2000;
/** A copy of a long prompt moves 1.3 GB over a slow link, in ms. */
const COPY_TIMEOUT_MS = 1500;
/** Failed copies after which no more are asked for. */
const MAX_FAILED = 4;

/** Keeps the copy of one leg. */
export class CopyKeeper {
  private copy: KeptCopy | undefined;
  private timer: NodeJS.Timeout | undefined;
  private copiedAt = -Infinity;
  private failed = 0;
  private isCopying = false;
  private stopped = false;

  constructor(
    private readonly parts: ServingParts,
    private readonly requestId: string,
    private readonly primary: EndpointRecord,
    private readonly standby: EndpointRecord | undefined,
    private readonly engineRequest: EngineRequest,
  ) {}

  /** Takes it that the stream has begun; from now on there is a copy. */
  start(): void {
    if (this.timer !== undefined || this.stopped) return;
    const {standby, primary, requestId} = this;
    if (standby !== undefined) {
      const source = {address: primary.address, name: requestId};
      this.copy = {source, holder: standby};
    }
    this.timer = setInterval(() => void this.check(), CHECK_MS);
  }

  /** Gives where a copy is kept; undefined when there is none. */
  findCopy(): KeptCopy | undefined {
    return this.copy;
  }

  /** Ends; a copy that was asked for is freed when nobody goes on from it. */
  stop(isNeeded: boolean): void {
    this.stopped = true;
    clearInterval(this.timer);
    const {copy} = this;
    if (isNeeded || copy === undefined) return;
    if (copy.source.name === this.requestId) return;
    const call = this.parts.copies.encodeDropCopy(copy.source.name);
    void this.send(call);
  }

  private async check(): Promise<void> {
    if (this.isCopying || this.failed >= MAX_FAILED) return;
    const isThere = this.copy !== undefined && !this.copy.holder.isGone;
    const isOwn = this.copy?.source.name === this.requestId;
    const now = this.parts.clock.getNow();
    if (isThere && (isOwn || now - this.copiedAt < RENEW_MS)) return;
    const target = isThere ? this.copy?.holder : this.chooseTarget();
    if (target === undefined) return;
    this.isCopying = true;
    this.copiedAt = now;
    await this.sendCopy(target);
    this.isCopying = false;
  }

  private chooseTarget(): EndpointRecord | undefined {
    const {service} = this.primary.entry;
    const usable = this.parts.endpoints.listUsable(service);
    return chooseBackup(usable, this.primary, this.engineRequest);
  }

  private async sendCopy(target: EndpointRecord): Promise<void> {
    const {copies, log} = this.parts;
    const call = copies.encodeCopy(this.requestId, target.address);
    const answer = await this.send(call);
    const name =
      answer === undefined
        ? undefined
        : copies.decodeCopy(answer.status, answer.body);
    log.writeInfo('The memory of a stream was copied.', {
      request: this.requestId,
      from: this.primary.instanceId,
      to: target.instanceId,
      status: answer?.status ?? 0,
      isCopied: name !== undefined,
    });
    if (name === undefined) {
      this.failed++;
      return;
    }
    const source = {address: this.primary.address, name};
    this.copy = {source, holder: target};
  }

  private async send(call: EngineCall): Promise<EngineAnswer | undefined> {
    const {address} = this.primary;
    return this.parts.engines.send(address, call, COPY_TIMEOUT_MS);
  }
}
