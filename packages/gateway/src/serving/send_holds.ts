/** What held one request back from endpoints, and what its caller is told. */
import {computeRetryDelayMs} from '@irisdock/decisions';
import type {Clock, KnownError, LogFields, Random} from '@irisdock/kernel';
import {GATEWAY_ERRORS} from '../errors.js';
import type {GatewayEndpoints} from '../services/gateway_endpoints.js';
import {formatRetryAfter} from './retry_after.js';
import {isLimitHold, type SendGate, type SendHold} from './send_gate.js';
import {createNotRun} from './send_rules.js';
import {getRandomFraction} from './serving_parts.js';

/** What the holds work with. */
export interface SendHoldsParts {
  readonly gate: SendGate;
  readonly endpoints: Pick<GatewayEndpoints, 'findFirstPauseEnd'>;
  readonly clock: Clock;
  readonly random: Random;
}

/** The holds of one request. */
export class SendHolds {
  private readonly holds: SendHold[] = [];

  constructor(private readonly parts: SendHoldsParts) {}

  add(hold: SendHold): void {
    this.holds.push(hold);
  }

  /** Creates the error of a request that no endpoint ran. */
  createError(service: string): KnownError {
    const {gate, endpoints, clock, random} = this.parts;
    const limited = this.holds.filter(isLimitHold);
    if (limited.length > 0) {
      const seconds = formatRetryAfter(gate.decideReturnMs(limited), random);
      return GATEWAY_ERRORS.create('limits_used_up', {service}, seconds);
    }
    const end = endpoints.findFirstPauseEnd(service);
    if (end === undefined) return createNotRun('no_endpoint', service, random);
    const part = getRandomFraction(random);
    const returnMs = computeRetryDelayMs(end, clock.getNow(), part);
    const seconds = formatRetryAfter(returnMs, random);
    return GATEWAY_ERRORS.create('endpoints_paused', {service}, seconds);
  }

  /** Lists the holds behind a refusal, for its line in the log. */
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
