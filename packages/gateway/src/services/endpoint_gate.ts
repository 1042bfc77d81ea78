/**
 * Admits every connection to an endpoint: checks first whether the endpoint
 * announced that it is leaving or requested a pause, then its rate limit over
 * all hosts.
 */
import type {SendPriority} from '@irisdock/decisions';
import type {Clock} from '@irisdock/kernel';
import {Counter, Gauge, type Registry} from 'prom-client';
import {
  SendPermit,
  type AnswerReport,
  type LimitHold,
  type SendAdmission,
  type SendGate,
  type SendHold,
  type SendTarget,
} from '../serving/send_gate.js';
import type {GatewayEndpoints} from './gateway_endpoints.js';

/** Dependencies of the gate. */
export interface EndpointGateParts {
  readonly limits: SendGate;
  readonly endpoints: Pick<GatewayEndpoints, 'find' | 'markLeaving' | 'pauses'>;
  readonly clock: Clock;
  readonly metrics: Registry;
}

/** Checks announcements of endpoints before their limits. */
export class EndpointGate implements SendGate {
  private readonly announcements: Counter;

  constructor(private readonly parts: EndpointGateParts) {
    const {endpoints, metrics} = parts;
    this.announcements = new Counter({
      name: 'irisdock_gateway_announcements_total',
      help: 'Responses with an announcement of the endpoint, a count, by kind.',
      labelNames: ['kind'],
      registers: [metrics],
    });
    new Gauge({
      name: 'irisdock_gateway_paused_endpoints',
      help: 'Endpoints that requested a pause, now in force, from this host, a count.',
      registers: [metrics],
      collect() {
        this.set(endpoints.pauses.countPaused());
      },
    });
  }

  admit(
    target: SendTarget,
    priority: SendPriority,
  ): Promise<SendAdmission> | SendAdmission {
    const {limits} = this.parts;
    const hold = this.findHold(target, priority);
    if (hold !== undefined) return hold;
    const admission = limits.admit(target, priority);
    if (!(admission instanceof Promise)) {
      return this.clampTime(admission, priority);
    }
    // The endpoint may have made an announcement while the send waited.
    return admission.then(
      (later) =>
        this.findHold(target, priority) ?? this.clampTime(later, priority),
    );
  }

  takeUnconfirmed<T extends SendTarget>(targets: Iterable<T>): T | undefined {
    return this.parts.limits.takeUnconfirmed(targets);
  }

  recordAnswer(report: AnswerReport): void {
    const {limits, endpoints} = this.parts;
    const {target, isLeaving, pause} = report;
    if (isLeaving) {
      this.announcements.inc({kind: 'leaving'});
      endpoints.markLeaving(target.instanceId, 'answer');
    }
    if (pause !== undefined) {
      this.announcements.inc({kind: 'pause'});
      endpoints.pauses.record(target, pause);
    }
    limits.recordAnswer(report);
  }

  decideReturnMs(holds: readonly LimitHold[]): number {
    return this.parts.limits.decideReturnMs(holds);
  }

  /** Limits the permit of a leaving endpoint to the time that it serves on. */
  private clampTime(
    admission: SendAdmission,
    priority: SendPriority,
  ): SendAdmission {
    if (admission.kind !== 'permit' || priority !== 'begun') return admission;
    const {target} = admission;
    const record = this.parts.endpoints.find(target.instanceId);
    if (record?.entry.state !== 'leaving') return admission;
    return new SendPermit(target, record.servesUntil);
  }

  private findHold(
    target: SendTarget,
    priority: SendPriority,
  ): SendHold | undefined {
    const {endpoints, clock} = this.parts;
    const {instanceId} = target;
    const end = endpoints.pauses.findEnd(instanceId);
    if (end !== undefined) {
      const waitMs = Math.max(0, end - clock.getNow());
      return {kind: 'held', target, reason: 'paused', waitMs};
    }
    // Calls about requests that run there still reach a leaving endpoint.
    if (priority === 'aside') return undefined;
    const record = endpoints.find(instanceId);
    if (record?.entry.state !== 'leaving') return undefined;
    if (priority === 'begun' && record.isDraining) return undefined;
    return {kind: 'held', target, reason: 'leaving', waitMs: Infinity};
  }
}
