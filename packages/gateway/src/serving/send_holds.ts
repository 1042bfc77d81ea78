/** The limits of endpoints that held one request back, and what it is told. */
import type {KnownError, LogFields, Random} from '@irisdock/kernel';
import {GATEWAY_ERRORS} from '../errors.js';
import {formatRetryAfter} from './retry_after.js';
import type {SendGate, SendHold} from './send_gate.js';

/** The holds of one request. */
export class SendHolds {
  private readonly holds: SendHold[] = [];

  constructor(private readonly parts: {gate: SendGate; random: Random}) {}

  /** Whether any endpoint's limit held the request back. */
  get hasAny(): boolean {
    return this.holds.length > 0;
  }

  add(hold: SendHold): void {
    this.holds.push(hold);
  }

  /** Creates the error of a request that was sent to no endpoint. */
  createError(service: string): KnownError {
    const {gate, random} = this.parts;
    const seconds = formatRetryAfter(gate.decideReturnMs(this.holds), random);
    return GATEWAY_ERRORS.create('limits_used_up', {service}, seconds);
  }

  /** Lists the limits behind a refusal, for its line in the log. */
  listFields(): LogFields {
    if (!this.hasAny) return {};
    const held = this.holds.map(
      ({target, reason, perSecond, issuer = 'nobody'}) =>
        `${target.instanceId} ${reason} ${perSecond}/s by ${issuer}`,
    );
    return {held: held.join(', ')};
  }
}
