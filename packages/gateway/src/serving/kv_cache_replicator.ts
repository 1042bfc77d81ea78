/**
 * Keeps a copy of a running stream's memory on another engine for as long as
 * the stream runs. The engine itself keeps one on the standby that was named
 * when the stream was sent; when that standby is gone, the memory is copied to
 * another one by request, and again every while for what is new.
 */
import {chooseBackupEngine, type EngineRequest} from '@irisdock/decisions';
import type {EngineCall, KvCacheSource} from '../model/request_metadata.js';
import type {EndpointRecord} from './endpoint_record.js';
import type {EngineAnswer} from './engine_client.js';
import {listLiveEndpoints} from './live_endpoints.js';
import {getRandomFraction, type ServingParts} from './serving_parts.js';

/** Where a copy is kept, and the name under which it is found there. */
export interface KvCacheReplica {
  readonly source: KvCacheSource;
  readonly holder: EndpointRecord;
}

/**
 * How long a copy that is missing waits at most, in ms. The streams of an engine
 * lose their standby at the same moment, and each draws its own wait.
 */
const CHECK_MS = 200;
/** Copies lapse after some 4 s and are renewed well before, in ms. */
const RENEW_MS = 2000;
/** A copy of a long prompt moves 1.3 GB over a slow link, in ms. */
const COPY_TIMEOUT_MS = 1500;
/** Failed copies after which no more are asked for. */
const MAX_FAILED = 4;

/** Keeps the copy of one attempt. */
export class KvCacheReplicator {
  private copy: KvCacheReplica | undefined;
  private timer: NodeJS.Timeout | undefined;
  private ignoreGone: (() => void) | undefined;
  private failed = 0;
  private isStarted = false;
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
    if (this.isStarted || this.stopped) return;
    this.isStarted = true;
    const {standby, primary, requestId} = this;
    if (standby === undefined) {
      this.plan(CHECK_MS);
      return;
    }
    const source = {address: primary.address, name: requestId};
    this.keep({source, holder: standby});
  }

  /** Gives where a copy is kept; undefined when there is none. */
  findReplica(): KvCacheReplica | undefined {
    return this.copy;
  }

  /** Ends; a copy that was asked for is freed when nobody goes on from it. */
  stop(isNeeded: boolean): void {
    this.stopped = true;
    clearTimeout(this.timer);
    this.ignoreGone?.();
    const {copy} = this;
    if (isNeeded || copy === undefined) return;
    if (copy.source.name !== this.requestId) this.dropCopy(copy.source.name);
  }

  /** Takes a copy, and looks for another place once its holder is gone. */
  private keep(copy: KvCacheReplica): void {
    this.copy = copy;
    this.ignoreGone?.();
    this.ignoreGone = copy.holder.watchRemoval(() => {
      this.plan(CHECK_MS * getRandomFraction(this.parts.random));
    });
    const isOwn = copy.source.name === this.requestId;
    if (!isOwn) this.plan(RENEW_MS);
  }

  private plan(ms: number): void {
    clearTimeout(this.timer);
    if (this.stopped || this.failed >= MAX_FAILED) return;
    this.timer = setTimeout(() => void this.sendAnew(), ms);
  }

  /** Copies to the holder again, or to another when there is none. */
  private async sendAnew(): Promise<void> {
    if (this.isCopying) return;
    const {copy} = this;
    const isThere = copy !== undefined && !copy.holder.isRemoved;
    const target = isThere ? copy.holder : this.chooseTarget();
    this.isCopying = true;
    const isCopied = target !== undefined && (await this.sendCopy(target));
    this.isCopying = false;
    if (!isCopied) this.plan(CHECK_MS);
  }

  private chooseTarget(): EndpointRecord | undefined {
    const {rollouts} = this.parts;
    const {service} = this.primary.entry;
    const usable = listLiveEndpoints(this.parts, service).filter((engine) =>
      rollouts.isSameSide(engine, this.primary),
    );
    return chooseBackupEngine(usable, this.primary, this.engineRequest);
  }

  private async sendCopy(target: EndpointRecord): Promise<boolean> {
    const {copyCodec: copies, log} = this.parts;
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
      return false;
    }
    // Nobody goes on from a copy that was ready only after the end.
    if (this.stopped) {
      this.dropCopy(name);
      return true;
    }

    this.keep({
      source: {address: this.primary.address, name},
      holder: target,
    });
    return true;
  }

  private dropCopy(name: string): void {
    void this.send(this.parts.copyCodec.encodeDropCopy(name));
  }

  private async send(call: EngineCall): Promise<EngineAnswer | undefined> {
    return this.parts.engineClient.send(this.primary, call, COPY_TIMEOUT_MS);
  }
}
