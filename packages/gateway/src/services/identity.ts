/** The service `host`: the identity of this host. */
import {createService, createServiceKey} from '@irisdock/kernel';
import * as z from 'zod';

/** The name, deployment, failure domain and incarnation of this host. */
export interface HostIdentity {
  readonly name: string;
  /** Hosts ignore those of other deployments; empty when none is set. */
  readonly deployment: string;
  readonly failureDomain: string;
  /** Increases with each start of this host. */
  readonly incarnation: number;
}

/** The key of the service. */
export const HOST_IDENTITY = createServiceKey<HostIdentity>('host');

/** The settings of the service; log lines contain the name as well. */
export const HOST_SETTINGS = z.object({
  name: z.string().min(1).meta({
    unit: 'name',
    description: 'The unique name of this host.',
  }),
  deployment: z.string().default('').meta({
    unit: 'name',
    description:
      'The name of the deployment, the same on all its hosts; hosts of other deployments are ignored.',
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
        'No deployment is set: hosts of other deployments are not ignored.',
      );
    }
    return {api: {...settings, incarnation: context.clock.getWallNow()}};
  },
});
