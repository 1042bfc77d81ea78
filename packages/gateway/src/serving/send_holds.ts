/** Collects what held one request back, and derives the caller's error. */
import {computeRetryDelayMs} from '@irisdock/decisions';
import type {Clock, KnownError, LogFields, Random} from '@irisdock/kernel';
import {GATEWAY_ERRORS} from '../errors.js';
import type {GatewayEndpoints} from '../services/gateway_endpoints.js';
import {formatRetryAfter} from './retry_after.js';
import {isLimitHold, type SendGate, type SendHold} from './send_gate.js';
import {createNotRunError} from './send_rules.js';
import {getRandomFraction} from './serving_parts.js';

/** Dependencies of the holds. */
export interface SendHoldsParts {
  readonly gate: SendGate;
  readonly endpoints: Pick<GatewayEndpoints, 'findFirstPauseEnd'>;
  readonly clock: Clock;
  readonly random: Random;
}

/** Collects the holds of one request. */
export class SendHolds {
  private readonly holds: SendHold[] = [];

  constructor(private readonly parts: SendHoldsParts) {}

  add(hold: SendHold): void {
    this.holds.push(hold);
  }

  /** Creates the error for a request that no endpoint ran. */
  createError(service: string): KnownError {
    const {gate, endpoints, clock, random} = this.parts;
    const limited = this.holds.filter(isLimitHold);
    if (limited.length > 0) {
      const seconds = formatRetryAfter(gate.decideReturnMs(limited), random);
      return GATEWAY_ERRORS.create('limits_used_up', {service}, seconds);
    }
    const end = endpoints.findFirstPauseEnd(service);
    if (end === undefined) {
      return createNotRunError('no_endpoint', service, random);
    }
    const fraction = getRandomFraction(random);
    const returnMs = computeRetryDelayMs(end, clock.getNow(), fraction);
    const seconds = formatRetryAfter(returnMs, random);
    return GATEWAY_ERRORS.create('endpoints_paused', {service}, seconds);
  }

  /** Lists the holds for the log line of a refusal. */
  listFields(): LogFields {
    if (this.holds.length === 0) return {};
    return {held: this.holds.map(formatHold).join(', ')};
  }
}

function formatHold(hold: SendHold): string {
  const {target, reason} = hold;
  if (!isLimitHold(hold)) return `${target.instanceId} ${reason}`;
  const {perSecond, issuer = 'nobody'} = hold;
  return `${target.instanceId} ${reason} ${perSecond}/s by ${issuer}`;
}
