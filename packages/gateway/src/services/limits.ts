/**
 * The service `limits`: the requests a second that endpoints in need take from all
 * hosts together. docs/design/endpoint_limits.md.
 */
import {createService, createServiceKey} from '@irisdock/kernel';
import {Gauge} from 'prom-client';
import * as z from 'zod';
import type {LimitAnswer, SendGate} from '../serving/send_gate.js';
import {LimitBeliefs} from './limit_beliefs.js';

/** What the service offers. */
export interface Limits extends SendGate {
  readonly beliefs: LimitBeliefs;
}

/** The key of the service. */
export const LIMITS = createServiceKey<Limits>('limits');

/** Declares the service. */
export const LIMITS_SERVICE = createService({
  key: LIMITS,
  settings: z.object({}),
  needs: [],
  create({clock, log, metrics}) {
    const beliefs = new LimitBeliefs(clock, log);
    const api = {
      beliefs,
      recordAnswer({target, limit, isTelling, sentAt}: LimitAnswer): void {
        const {instanceId} = target;
        if (limit !== undefined) beliefs.acceptNamed(instanceId, limit);
        else if (isTelling) beliefs.acceptAbsent(instanceId, sentAt);
      },
    };
    new Gauge({
      name: 'irisdock_gateway_limits',
      help: 'Endpoints that name a limit on their requests, a count.',
      registers: [metrics],
      collect() {
        this.set(beliefs.count);
      },
    });
    return {api};
  },
});
