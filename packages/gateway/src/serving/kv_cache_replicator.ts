/**
 * Maintains a replica of a running stream's KV cache on another engine. The
 * engine itself replicates to the standby that was named when the stream was
 * sent. If there is no standby, or it is removed or about to end, this class
 * requests copies to another engine, repeatedly so that the replica stays up to
 * date.
 */
import {chooseBackupEngine, type EngineRequest} from '@irisdock/decisions';
import type {EngineCall, KvCacheSource} from '../model/request_metadata.js';
import type {EndpointRecord} from './endpoint_record.js';
import type {EngineAnswer} from './engine_client.js';
import {listStreamEngines} from './live_endpoints.js';
import {getRandomFraction, type ServingParts} from './serving_parts.js';
import {createOrigin} from './version_binding.js';

/** The engine that holds a replica, and the replica's source and name. */
export interface KvCacheReplica {
  readonly source: KvCacheSource;
  readonly holder: EndpointRecord;
}

/**
 * The longest delay until a missing replica is replaced, in ms. The streams of
 * an engine lose their standby at the same moment, so each draws its own delay.
 */
const MAX_REPLACEMENT_DELAY_MS = 200;
/** Time between renewals, in ms. Engines drop copies after about 4 s. */
const RENEWAL_INTERVAL_MS = 2000;
/** The timeout of a copy, in ms: up to 1.3 GB over a slow link. */
const COPY_TIMEOUT_MS = 1500;
/** How many copies in a row an engine may fail before it gets no more. */
const MAX_FAILED_COPIES = 4;
/** After so many requests in a row without an answer they become rarer. */
const MAX_UNANSWERED_COPIES = 4;

/** Maintains the KV cache replica of one attempt. */
export class KvCacheReplicator {
  private replica: KvCacheReplica | undefined;
  private timer: NodeJS.Timeout | undefined;
  private stopWatching: (() => void) | undefined;
  private failedCopies = 0;
  private unansweredCopies = 0;
  private isStarted = false;
  private isCopying = false;
  private isStopped = false;

  constructor(
    private readonly parts: ServingParts,
    private readonly requestId: string,
    private readonly primary: EndpointRecord,
    private readonly standby: EndpointRecord | undefined,
    private readonly engineRequest: EngineRequest,
  ) {}

  /** Starts replication; called when the first events have arrived. */
  start(): void {
    if (this.isStarted || this.isStopped) return;
    this.isStarted = true;
    const {standby, primary, requestId} = this;
    if (standby === undefined) {
      this.plan(MAX_REPLACEMENT_DELAY_MS);
      return;
    }
    const source = {address: primary.address, name: requestId};
    this.setReplica({source, holder: standby});
  }

  /** Returns the current replica; undefined when there is none. */
  findReplica(): KvCacheReplica | undefined {
    return this.replica;
  }

  /**
   * Stops replication.
   *
   * @param isNeeded Whether the stream may resume from the replica; if not, a
   *     replica that this class requested is dropped.
   */
  stop(isNeeded: boolean): void {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.stopWatching?.();
    const {replica} = this;
    if (isNeeded || replica === undefined) return;
    if (replica.source.name !== this.requestId) {
      this.dropCopy(replica.source.name);
    }
  }

  /** Sets the replica, and plans another one for when its holder is removed. */
  private setReplica(replica: KvCacheReplica): void {
    this.replica = replica;
    this.stopWatching?.();
    const planReplacement = (): void => {
      const fraction = getRandomFraction(this.parts.random);
      this.plan(MAX_REPLACEMENT_DELAY_MS * fraction);
    };
    const isEngineMaintained = replica.source.name === this.requestId;
    if (!isEngineMaintained) this.plan(RENEWAL_INTERVAL_MS);
    // Last, as the watches of a holder that already ends plan at once.
    const stops = [
      replica.holder.watchRemoval(planReplacement),
      replica.holder.watchEnd(planReplacement),
    ];
    this.stopWatching = () => {
      for (const stop of stops) stop();
    };
  }

  private plan(ms: number): void {
    clearTimeout(this.timer);
    if (this.isStopped || this.failedCopies >= MAX_FAILED_COPIES) return;
    this.timer = setTimeout(() => void this.renewReplica(), ms);
  }

  /** Copies to the holder again, or to another engine if it was removed. */
  private async renewReplica(): Promise<void> {
    if (this.isCopying) return;
    const holder = this.replica?.holder;
    const isKept = holder !== undefined && !isGoing(holder);
    const target = isKept ? holder : this.chooseTarget();
    this.isCopying = true;
    const isCopied = target !== undefined && (await this.sendCopy(target));
    this.isCopying = false;
    if (!isCopied) this.plan(this.getRetryDelayMs());
  }

  private getRetryDelayMs(): number {
    const isSilent = this.unansweredCopies >= MAX_UNANSWERED_COPIES;
    return isSilent ? RENEWAL_INTERVAL_MS : MAX_REPLACEMENT_DELAY_MS;
  }

  private chooseTarget(): EndpointRecord | undefined {
    const {service} = this.primary.entry;
    const origin = createOrigin(this.primary);
    const engines = listStreamEngines(this.parts, service, origin);
    return chooseBackupEngine(engines, this.primary, this.engineRequest);
  }

  private async sendCopy(target: EndpointRecord): Promise<boolean> {
    const {copyCodec, log} = this.parts;
    const call = copyCodec.encodeCopy(this.requestId, target.address);
    const answer = await this.send(call);
    const name =
      answer === undefined
        ? undefined
        : copyCodec.decodeCopy(answer.status, answer.body);
    log.writeInfo('Requested a copy of the KV cache of a stream.', {
      request: this.requestId,
      from: this.primary.instanceId,
      to: target.instanceId,
      status: answer?.status ?? 0,
      isCopied: name !== undefined,
    });
    // An engine without an answer may be silent for a while or have no permit.
    this.unansweredCopies =
      answer === undefined ? this.unansweredCopies + 1 : 0;
    if (name === undefined) {
      if (answer !== undefined) this.failedCopies++;
      return false;
    }
    this.failedCopies = 0;
    // Nothing resumes from a copy that was completed only after the end.
    if (this.isStopped) {
      this.dropCopy(name);
      return true;
    }

    this.setReplica({
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

/** Whether an engine is gone or about to end. */
function isGoing({isRemoved, endsAt}: EndpointRecord): boolean {
  return isRemoved || endsAt !== undefined;
}
