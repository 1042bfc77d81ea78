/**
 * Reviews the losses of failure domains. Endpoints of one domain that crash at
 * the same moment under different contents look like the loss of the domain: no
 * crash is counted, as the reports of the others arrive later. If one of them
 * turns out to have crashed under a content that crashes endpoints, the loss is
 * refuted and the crash is recorded after all.
 */
import type {Clock, Logger} from '@irisdock/kernel';
import {REPORT_WAIT_MS, type CrashRecords} from './crash_records.js';
import type {EndpointExitCheck} from './endpoint_exit_check.js';
import type {EndpointRecord} from './endpoint_record.js';

/** A run that was lost with the failure domain of its endpoint. */
export interface DomainLoss {
  readonly content: string;
  readonly endpoint: EndpointRecord;
}

/** Dependencies of the review. */
export interface DomainLossReviewParts {
  readonly exitCheck: Pick<EndpointExitCheck, 'isDomainLossRefuted'>;
  readonly crashes: Pick<CrashRecords, 'recordCrash' | 'watch'>;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Records the crashes of refuted losses while reports may arrive. */
export class DomainLossReview {
  /** Each controller ends the review of a loss; by content. */
  private readonly pending = new Map<string, Set<AbortController>>();

  constructor(private readonly parts: DomainLossReviewParts) {}

  /** Whether a crash of a content may still be recorded. */
  isPending(content: string): boolean {
    return this.pending.has(content);
  }

  /** Reviews a loss until it is refuted or reports have had time to arrive. */
  async add(loss: DomainLoss): Promise<void> {
    const {exitCheck, crashes, clock} = this.parts;
    const {content, endpoint} = loss;
    const ended = this.addPending(content);
    const stopWatching = crashes.watch(() => {
      if (ended.signal.aborted) return;
      if (!exitCheck.isDomainLossRefuted(endpoint)) return;
      ended.abort();
      this.recordRefuted(loss);
    });
    await clock.wait(REPORT_WAIT_MS, ended.signal);
    stopWatching();
    this.deletePending(content, ended);
  }

  /** Ends the reviews of a content, which is sound. */
  cancel(content: string): void {
    for (const ended of this.pending.get(content) ?? []) ended.abort();
  }

  /** Ends all reviews. */
  close(): void {
    for (const content of this.pending.keys()) this.cancel(content);
  }

  private recordRefuted({content, endpoint}: DomainLoss): void {
    const {instanceId, failureDomain} = endpoint;
    this.parts.log.writeInfo('A crash refuted the loss of a failure domain.', {
      content,
      endpoint: instanceId,
      domain: failureDomain,
    });
    this.parts.crashes.recordCrash({content, instanceId});
  }

  private addPending(content: string): AbortController {
    const controllers = this.pending.get(content) ?? new Set();
    const ended = new AbortController();
    this.pending.set(content, controllers.add(ended));
    return ended;
  }

  private deletePending(content: string, ended: AbortController): void {
    const controllers = this.pending.get(content);
    controllers?.delete(ended);
    if (controllers?.size === 0) this.pending.delete(content);
  }
}
