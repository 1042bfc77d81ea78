/**
 * Informs other hosts of new, changed and ended limits. A host that sees a
 * change informs the issuer of the permits, and the issuer informs all hosts:
 * so each change is broadcast once, however many hosts see it.
 */
import type {LimitsDatagram, ReportedLimit} from '../model/limit_datagram.js';
import {DelayedTasks} from './delayed_tasks.js';

/**
 * How long changes are batched, in ms: several endpoints of a service may
 * advertise limits together, and one may change its limit several times.
 */
const BATCH_DELAY_MS = 20;
/** The delay before a message is sent again, as it may be lost, in ms. */
const REPEAT_MS = 700;
/** The maximum number of limits in one datagram; one takes some 40 bytes. */
const MAX_PER_DATAGRAM = 24;

/** Dependencies of the publisher. */
export interface LimitPublisherParts {
  readonly ownName: string;
  readonly findIssuer: (instanceId: string) => string | undefined;
  readonly isEndpointKnown: (instanceId: string) => boolean;
  /** Returns the currently known limit of an endpoint. */
  readonly createLimitSummary: (instanceId: string) => ReportedLimit;
  readonly sendToAll: (datagram: LimitsDatagram) => void;
  readonly sendTo: (host: string, datagram: LimitsDatagram) => void;
}

/**
 * Sends limits to their issuers or to all hosts. Limits of endpoints that this
 * host does not know are not sent: hosts drop the limits of an endpoint that is
 * gone at different times, and would otherwise tell them to each other again.
 */
export class LimitPublisher {
  private batch = new Set<string>();
  private readonly tasks = new DelayedTasks();

  constructor(private readonly parts: LimitPublisherParts) {}

  /** Sends an endpoint's limit, as it is known when the message is sent. */
  publish(instanceId: string): void {
    this.batch.add(instanceId);
    if (this.batch.size > 1) return;
    this.tasks.plan(BATCH_DELAY_MS, () => {
      const instanceIds = [...this.batch];
      this.batch = new Set();
      this.sendAll(instanceIds);
      this.tasks.plan(REPEAT_MS, () => {
        this.sendAll(instanceIds);
      });
    });
  }

  /** Sends limits to one host now. */
  sendTo(host: string, instanceIds: readonly string[]): void {
    for (const datagram of this.createDatagrams(instanceIds)) {
      this.parts.sendTo(host, datagram);
    }
  }

  /**
   * Sends limits now: to all hosts where this one is the issuer, else to their
   * issuers.
   */
  sendAll(instanceIds: readonly string[]): void {
    const {ownName, findIssuer, sendToAll} = this.parts;
    const byIssuer = new Map<string, string[]>();
    for (const instanceId of instanceIds) {
      const issuer = findIssuer(instanceId);
      if (issuer === undefined) continue;
      const group = byIssuer.get(issuer);
      if (group === undefined) byIssuer.set(issuer, [instanceId]);
      else group.push(instanceId);
    }
    for (const [issuer, group] of byIssuer) {
      if (issuer !== ownName) {
        this.sendTo(issuer, group);
        continue;
      }
      for (const datagram of this.createDatagrams(group)) sendToAll(datagram);
    }
  }

  close(): void {
    this.tasks.close();
  }

  private createDatagrams(instanceIds: readonly string[]): LimitsDatagram[] {
    const {ownName, isEndpointKnown, createLimitSummary} = this.parts;
    const limits = instanceIds.filter(isEndpointKnown).map(createLimitSummary);
    const datagrams: LimitsDatagram[] = [];
    for (let from = 0; from < limits.length; from += MAX_PER_DATAGRAM) {
      const part = limits.slice(from, from + MAX_PER_DATAGRAM);
      datagrams.push({kind: 'limits', name: ownName, limits: part});
    }
    return datagrams;
  }
}
