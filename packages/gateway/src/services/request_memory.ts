/**
 * The service `requestMemory`: the memory that this host gives to what callers
 * and other hosts send to it. It depends on the memory of the host.
 */
import {BodyMemory, createService, createServiceKey} from '@irisdock/kernel';
import * as z from 'zod';
import {HOST_IDENTITY} from './identity.js';

const BYTES_PER_MB = 1_000_000;
/** What a host needs without any requests, in MB. */
const BASE_MB = 96;
/** The memory of a host that does not know its own, in MB. */
const UNKNOWN_MB = 144;

/** A part of the memory that is left beside what a host needs. */
interface MemoryPart {
  readonly divisor: number;
  readonly minMb: number;
  readonly maxMb: number;
}

/** The bodies of requests. */
const BODIES: MemoryPart = {divisor: 3, minMb: 8, maxMb: 32};

/** The memory for requests. */
export interface RequestMemory {
  readonly bodies: BodyMemory;
}

/** The key of the service. */
export const REQUEST_MEMORY = createServiceKey<RequestMemory>('requestMemory');

const SIZE_SCHEMA = z
  .union([z.literal('auto'), z.coerce.number().min(1)], {
    error: 'Give a number of at least 1, or auto.',
  })
  .default('auto');

/** Declares the service. */
export const REQUEST_MEMORY_SERVICE = createService({
  key: REQUEST_MEMORY,
  settings: z.object({
    bodiesMb: SIZE_SCHEMA.meta({
      unit: 'MB|auto',
      description:
        'The memory for the bodies of all requests together, beyond which the largest that is still arriving is refused with 503; one body of the configured limit always fits. auto is a third of what `[host] memoryMb` leaves beside 96 MB, from 8 to 32.',
    }),
  }),
  needs: [HOST_IDENTITY],
  create(context, settings) {
    const {memoryMb} = context.find(HOST_IDENTITY);
    const bodies = new BodyMemory(
      computeBytes(settings.bodiesMb, BODIES, memoryMb),
    );
    return {api: {bodies}};
  },
});

/** Computes a part of the memory in bytes; 0 MB if the host's is not known. */
function computeBytes(
  setting: number | 'auto',
  {divisor, minMb, maxMb}: MemoryPart,
  memoryMb: number,
): number {
  if (setting !== 'auto') return setting * BYTES_PER_MB;
  const spareMb = (memoryMb || UNKNOWN_MB) - BASE_MB;
  const mb = Math.min(maxMb, Math.max(minMb, spareMb / divisor));
  return Math.round(mb * BYTES_PER_MB);
}
