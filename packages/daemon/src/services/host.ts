/** The service `host`: the identity of this host and its signing key. */
import {createService, createServiceKey, type Random} from '@irisdock/kernel';
import {Signer} from '@irisdock/decisions';
import * as z from 'zod';
import {LISTENERS} from './listeners.js';

/** The identity, addresses and signer of this host. */
export interface Host {
  readonly hostId: string;
  /** Identifies one start of this host; increases in string order. */
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
      description: 'The name of the host; defaults to its caller address.',
    }),
  failureDomain: z
    .string()
    .min(1)
    .meta({unit: 'name', description: 'The failure domain of the host.'}),
  clusterKey: z.string().min(MIN_KEY_CHARS).meta({
    unit: 'secret',
    description:
      'Signs request ids and resume data; equal on all hosts, 16+ characters.',
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
    const {addresses} = context.find(LISTENERS);
    const api: Host = {
      hostId: settings.id || addresses.caller,
      incarnation: createIncarnation(
        context.clock.getWallNow(),
        context.random,
      ),
      failureDomain: settings.failureDomain,
      callerAddress: addresses.caller,
      peerAddress: addresses.peer,
      signer: new Signer(settings.clusterKey),
    };
    return {api};
  },
});

/** Creates an incarnation from the start time and a random suffix. */
export function createIncarnation(wallNow: number, random: Random): string {
  const timePart = Math.floor(wallNow)
    .toString(RADIX)
    .padStart(TIME_CHARS, '0');
  const randomPart = random.getInt(RADIX ** RANDOM_CHARS).toString(RADIX);
  return timePart + randomPart.padStart(RANDOM_CHARS, '0');
}
