/** The service `host`: who this host is, and the key that it signs with. */
import {createService, createServiceKey, type Random} from '@irisdock/kernel';
import {Signer} from '@irisdock/decisions';
import * as z from 'zod';
import {LISTENERS} from './listeners.js';

/** This host. */
export interface Host {
  readonly hostId: string;
  /** Higher, by its text, after each start. */
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly signer: Signer;
}

/** The key of the service. */
export const HOST = createServiceKey<Host>('host');

const MIN_KEY_CHARS = 16;

const SETTINGS = z.object({
  id: z
    .string()
    .regex(/^[A-Za-z0-9.:[\]-]{0,60}$/, 'Use up to 60 of A-Z a-z 0-9 . : -')
    .default('')
    .meta({
      unit: 'name',
      description: 'The name of the host; empty for its caller address.',
    }),
  failureDomain: z
    .string()
    .min(1)
    .meta({unit: 'name', description: 'The failure domain of the host.'}),
  clusterKey: z.string().min(MIN_KEY_CHARS).meta({
    unit: 'secret',
    description:
      'Signs what callers carry; the same on all hosts, 16 letters or more.',
  }),
});

const RADIX = 36;
const TIME_CHARS = 9;
const RANDOM_CHARS = 4;

/** Declares the service. */
export const HOST_SERVICE = createService({
  key: HOST,
  settings: SETTINGS,
  needs: [LISTENERS],
  create(context, settings) {
    const {addresses: places} = context.find(LISTENERS);
    const api: Host = {
      hostId: settings.id || places.caller,
      incarnation: createIncarnation(
        context.clock.getWallNow(),
        context.random,
      ),
      failureDomain: settings.failureDomain,
      callerAddress: places.caller,
      peerAddress: places.peer,
      signer: new Signer(settings.clusterKey),
    };
    return {api};
  },
});

/** Builds an incarnation from the time of the start. */
export function createIncarnation(wallNow: number, random: Random): string {
  const time = Math.floor(wallNow).toString(RADIX).padStart(TIME_CHARS, '0');
  const noise = random.getInt(RADIX ** RANDOM_CHARS).toString(RADIX);
  return time + noise.padStart(RANDOM_CHARS, '0');
}
