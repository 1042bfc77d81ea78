/** What held one request back from endpoints, and what its caller is told. */
import type {KnownError, LogFields, Random} from '@irisdock/kernel';
import {GATEWAY_ERRORS} from '../errors.js';
import {formatRetryAfter} from './retry_after.js';
import {isLimitHold, type SendGate, type SendHold} from './send_gate.js';
import {createNotRun} from './send_rules.js';

/** The holds of one request. */
export class SendHolds {
  private readonly holds: SendHold[] = [];

  constructor(private readonly parts: {gate: SendGate; random: Random}) {}

  /** Whether the request was held back from any endpoint. */
  get hasAny(): boolean {
    return this.holds.length > 0;
  }

  add(hold: SendHold): void {
    this.holds.push(hold);
  }

  /** Creates the error of a request that was sent to no endpoint. */
  createError(service: string): KnownError {
    const {gate, random} = this.parts;
    const limited = this.holds.filter(isLimitHold);
    if (limited.length === 0) {
      return createNotRun('no_endpoint', service, random);
    }
    const seconds = formatRetryAfter(gate.decideReturnMs(limited), random);
    return GATEWAY_ERRORS.create('limits_used_up', {service}, seconds);
  }

  /** Lists the holds behind a refusal, for its line in the log. */
  listFields(): LogFields {
    if (!this.hasAny) return {};
    return {held: this.holds.map(formatHold).join(', ')};
  }
}

function formatHold(hold: SendHold): string {
  const {target, reason} = hold;
  if (!isLimitHold(hold)) return `${target.instanceId} ${reason}`;
  const {perSecond, issuer = 'nobody'} = hold;
  return `${target.instanceId} ${reason} ${perSecond}/s by ${issuer}`;
}
