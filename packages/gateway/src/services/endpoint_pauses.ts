/**
 * The pauses that endpoints requested from this host, by instance id. A pause
 * applies only to the host that received the rejection.
 */
import {computePauseEnd, type PauseRequest} from '@irisdock/decisions';
import type {Clock, Logger} from '@irisdock/kernel';
import type {SendTarget} from '../serving/send_gate.js';

/** The number of entries from which expired pauses are removed. */
const SWEEP_MIN_ENTRIES = 1000;

/** Keeps when each requested pause ends. */
export class EndpointPauses {
  private readonly endsAt = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  /** Counts the pauses in force. */
  countPaused(): number {
    this.dropExpired();
    return this.endsAt.size;
  }

  /** Returns the end of a pause in force, in ms by this host's clock. */
  findEnd(instanceId: string): number | undefined {
    const end = this.endsAt.get(instanceId);
    return end === undefined || end <= this.clock.getNow() ? undefined : end;
  }

  /** Applies the pause that a response requested. */
  record({instanceId, address}: SendTarget, request: PauseRequest): void {
    const now = this.clock.getNow();
    const known = this.findEnd(instanceId);
    const end = computePauseEnd(request, now, known);
    if (end <= now) return;
    this.endsAt.set(instanceId, end);
    if (this.endsAt.size >= SWEEP_MIN_ENTRIES) this.dropExpired();
    if (known !== undefined) return;
    this.log.writeInfo('Endpoint requested a pause.', {
      endpoint: instanceId,
      address,
      request: request.kind,
      ms: Math.round(end - now),
    });
  }

  private dropExpired(): void {
    const now = this.clock.getNow();
    for (const [instanceId, end] of this.endsAt) {
      if (end <= now) this.endsAt.delete(instanceId);
    }
  }
}
