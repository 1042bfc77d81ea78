/**
 * Tells other hosts that a limit was named, has changed or has ended. Who sees it
 * tells the host that hands out the permits, and that one tells all: so each
 * change is told to all once, however many hosts see it.
 */
import type {LimitsDatagram, ReportedLimit} from '../model/limit_datagram.js';
import {DelayedTasks} from './delayed_tasks.js';

/**
 * Changes are gathered for so long, in ms; several endpoints of a service may come
 * in need together, and one may change its limit several times.
 */
const GATHER_MS = 20;
/** After so long it is told once more, as a datagram may be lost, in ms. */
const REPEAT_MS = 700;
/** Limits in one datagram; one takes some 40 bytes. */
const MAX_PER_DATAGRAM = 24;

/** What the notices work with. */
export interface LimitPublisherParts {
  readonly ownName: string;
  readonly findIssuer: (instanceId: string) => string | undefined;
  /** Gives what is believed of an endpoint now. */
  readonly createLimitSummary: (instanceId: string) => ReportedLimit;
  readonly sendToAll: (datagram: LimitsDatagram) => void;
  readonly sendTo: (host: string, datagram: LimitsDatagram) => void;
}

/** The notices. */
export class LimitPublisher {
  private gathered = new Set<string>();
  private readonly later = new DelayedTasks();

  constructor(private readonly parts: LimitPublisherParts) {}

  /** Tells of an endpoint's limit, as it is believed when the notice goes out. */
  publish(instanceId: string): void {
    this.gathered.add(instanceId);
    if (this.gathered.size > 1) return;
    this.later.plan(GATHER_MS, () => {
      const instanceIds = [...this.gathered];
      this.gathered = new Set();
      this.sendAll(instanceIds);
      this.later.plan(REPEAT_MS, () => {
        this.sendAll(instanceIds);
      });
    });
  }

  close(): void {
    this.later.close();
  }

  private sendAll(instanceIds: readonly string[]): void {
    const {ownName, findIssuer, createLimitSummary: createTold} = this.parts;
    const forAll: ReportedLimit[] = [];
    for (const instanceId of instanceIds) {
      const issuer = findIssuer(instanceId);
      const told = createTold(instanceId);
      if (issuer === ownName) forAll.push(told);
      else if (issuer !== undefined) {
        this.parts.sendTo(issuer, this.createDatagram([told]));
      }
    }
    for (let from = 0; from < forAll.length; from += MAX_PER_DATAGRAM) {
      const part = forAll.slice(from, from + MAX_PER_DATAGRAM);
      this.parts.sendToAll(this.createDatagram(part));
    }
  }

  private createDatagram(limits: readonly ReportedLimit[]): LimitsDatagram {
    return {kind: 'limits', name: this.parts.ownName, limits};
  }
}
