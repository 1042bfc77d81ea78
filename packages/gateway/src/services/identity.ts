/** The service `host`: who this host is. */
import {createService, createServiceKey} from '@irisdock/kernel';
import * as z from 'zod';

/** This host. */
export interface HostIdentity {
  readonly name: string;
  /** Tells hosts of different deployments apart; empty when none is set. */
  readonly deployment: string;
  readonly failureDomain: string;
  /** Higher after each start of this host. */
  readonly incarnation: number;
}

/** The key of the service. */
export const HOST_IDENTITY = createServiceKey<HostIdentity>('host');

/** The settings of the service; log lines carry the name too. */
export const HOST_SETTINGS = z.object({
  name: z.string().min(1).meta({
    unit: 'name',
    description: 'The name of this host, unlike that of any other.',
  }),
  deployment: z.string().default('').meta({
    unit: 'name',
    description:
      'The name of the deployment, the same on all its hosts; hosts of another one are ignored.',
  }),
  failureDomain: z.string().min(1).meta({
    unit: 'name',
    description: 'The failure domain of this host.',
  }),
});

/** Declares the service. */
export const HOST_IDENTITY_SERVICE = createService({
  key: HOST_IDENTITY,
  settings: HOST_SETTINGS,
  needs: [],
  create(context, settings) {
    if (settings.deployment === '') {
      context.log.writeWarning(
        'No deployment is set: hosts of other deployments are not told apart.',
      );
    }
    return {api: {...settings, incarnation: context.clock.getWallNow()}};
  },
});
