/**
 * The pauses that endpoints requested from this host, by instance id. A pause
 * binds only the host that received the rejection.
 */
import {computePauseEnd, type PauseRequest} from '@irisdock/decisions';
import type {Clock, Logger} from '@irisdock/kernel';
import type {SendTarget} from '../serving/send_gate.js';

/** Expired pauses are dropped from this many entries on. */
const SWEEP_FROM = 1000;

/** The pauses. */
export class EndpointPauses {
  private readonly ends = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  /** Counts the pauses in force. */
  countPaused(): number {
    this.dropOver();
    return this.ends.size;
  }

  /** Gives the end of a pause in force, in ms by this host's clock. */
  findEnd(instanceId: string): number | undefined {
    const end = this.ends.get(instanceId);
    return end === undefined || end <= this.clock.getNow() ? undefined : end;
  }

  /** Applies the pause that an answer requested. */
  record({instanceId, address}: SendTarget, request: PauseRequest): void {
    const now = this.clock.getNow();
    const known = this.findEnd(instanceId);
    const end = computePauseEnd(request, now, known);
    if (end <= now) return;
    this.ends.set(instanceId, end);
    if (this.ends.size >= SWEEP_FROM) this.dropOver();
    if (known !== undefined) return;
    this.log.writeInfo('An endpoint asked for a pause.', {
      endpoint: instanceId,
      address,
      request: request.kind,
      ms: Math.round(end - now),
    });
  }

  private dropOver(): void {
    const now = this.clock.getNow();
    for (const [instanceId, end] of this.ends) {
      if (end <= now) this.ends.delete(instanceId);
    }
  }
}
