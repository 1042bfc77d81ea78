/**
 * The gate before every connection to an endpoint: what the endpoint announced of
 * itself, then the limit that it names for all hosts together.
 */
import type {SendUse} from '@irisdock/decisions';
import {Counter, Gauge, type Registry} from 'prom-client';
import type {
  AnswerReport,
  LimitHold,
  SendAdmission,
  SendGate,
  SendHold,
  SendTarget,
} from '../serving/send_gate.js';
import type {GatewayEndpoints} from './gateway_endpoints.js';
import type {EndpointPauses} from './endpoint_pauses.js';

/** What the gate works with. */
export interface EndpointGateParts {
  readonly limits: SendGate;
  readonly pauses: EndpointPauses;
  readonly endpoints: Pick<GatewayEndpoints, 'find' | 'markLeaving'>;
  readonly metrics: Registry;
}

/** The gate. */
export class EndpointGate implements SendGate {
  private readonly announcements: Counter;

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
    const {limits} = this.parts;
    return this.findHold(target, use) ?? limits.admit(target, use);
  }

  takeUnconfirmed<T extends SendTarget>(targets: Iterable<T>): T | undefined {
    return this.parts.limits.takeUnconfirmed(targets);
  }

  recordAnswer(report: AnswerReport): void {
    const {limits, pauses, endpoints} = this.parts;
    const {target, isLeaving, pause} = report;
    if (isLeaving) {
      this.announcements.inc({kind: 'leaving'});
      endpoints.markLeaving(target.instanceId, 'answer');
    }
    if (pause !== undefined) {
      this.announcements.inc({kind: 'pause'});
      pauses.record(target, pause);
    }
    limits.recordAnswer(report);
  }

  decideReturnMs(holds: readonly LimitHold[]): number {
    return this.parts.limits.decideReturnMs(holds);
  }

  /** Calls about what runs there still reach an endpoint that is leaving. */
  private findHold(target: SendTarget, use: SendUse): SendHold | undefined {
    if (use === 'aside') return undefined;
    const endpoint = this.parts.endpoints.find(target.instanceId);
    if (endpoint?.entry.state !== 'leaving') return undefined;
    return {kind: 'held', target, reason: 'leaving', waitMs: Infinity};
  }
}
