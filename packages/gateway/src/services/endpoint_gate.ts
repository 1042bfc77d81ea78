/**
 * The gate before every connection to an endpoint: what the endpoint announced of
 * itself, then the limit that it names for all hosts together.
 */
import type {SendUse} from '@irisdock/decisions';
import type {Logger} from '@irisdock/kernel';
import {Counter, Gauge, type Registry} from 'prom-client';
import type {
  AnswerReport,
  SendAdmission,
  SendGate,
  SendHold,
  SendTarget,
} from '../serving/send_gate.js';
import type {EndpointPauses} from './endpoint_pauses.js';

/** What the gate works with. */
export interface EndpointGateParts {
  readonly limits: SendGate;
  readonly pauses: EndpointPauses;
  readonly log: Logger;
  readonly metrics: Registry;
}

/** The gate. */
export class EndpointGate implements SendGate {
  private readonly announcements: Counter;
  private readonly announced = new Set<string>();

  constructor(private readonly parts: EndpointGateParts) {
    const {pauses, metrics} = parts;
    this.announcements = new Counter({
      name: 'irisdock_gateway_announcements_total',
      help: 'Answers by which endpoints announced something, a count, by kind.',
      labelNames: ['kind'],
      registers: [metrics],
    });
    new Gauge({
      name: 'irisdock_gateway_paused_endpoints',
      help: 'Endpoints that asked this host for a pause in force, a count.',
      registers: [metrics],
      collect() {
        this.set(pauses.countPaused());
      },
    });
  }

  admit(
    target: SendTarget,
    use: SendUse,
  ): Promise<SendAdmission> | SendAdmission {
    return this.parts.limits.admit(target, use);
  }

  takeUnconfirmed<T extends SendTarget>(targets: Iterable<T>): T | undefined {
    return this.parts.limits.takeUnconfirmed(targets);
  }

  recordAnswer(report: AnswerReport): void {
    const {limits, pauses} = this.parts;
    const {target, isLeaving, pause} = report;
    if (isLeaving) this.recordLeaving(target);
    if (pause !== undefined) {
      this.announcements.inc({kind: 'pause'});
      pauses.record(target, pause);
    }
    limits.recordAnswer(report);
  }

  decideReturnMs(holds: readonly SendHold[]): number {
    return this.parts.limits.decideReturnMs(holds);
  }

  private recordLeaving({instanceId, address}: SendTarget): void {
    this.announcements.inc({kind: 'leaving'});
    if (this.announced.has(instanceId)) return;
    this.announced.add(instanceId);
    this.parts.log.writeInfo('An endpoint announced that it is leaving.', {
      endpoint: instanceId,
      address,
    });
  }
}
