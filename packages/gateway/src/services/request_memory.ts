/**
 * The service `requestMemory`: the memory that this host gives to what callers
 * and other hosts send to it. It depends on the memory of the host.
 */
import {
  BodyMemory,
  createService,
  createServiceKey,
  DEFAULT_BACKLOG_BYTES,
  RequestBacklog,
  type ServerGuard,
} from '@irisdock/kernel';
import {Counter, type Registry} from 'prom-client';
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

/**
 * How long a client of a guarded server may take nothing of its answer, in ms:
 * callers on slow links may pause for some seconds while packets are lost.
 */
const MAX_STALL_MS = 10_000;

/** The memory for requests. */
export interface RequestMemory {
  readonly bodies: BodyMemory;
  /** Guards the servers of this host. */
  readonly guard: ServerGuard;
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
    backlogMb: z.coerce
      .number()
      .min(1)
      .default(DEFAULT_BACKLOG_BYTES / BYTES_PER_MB)
      .meta({
        unit: 'MB',
        description:
          'The memory for requests that wait for those before them on their connection, beyond which the connection with the most is closed.',
      }),
  }),
  needs: [HOST_IDENTITY],
  create(context, settings) {
    const {memoryMb} = context.find(HOST_IDENTITY);
    const {bodiesMb, backlogMb} = settings;
    const closes = createCloseCounter(context.metrics);
    const guard: ServerGuard = {
      backlog: new RequestBacklog(backlogMb * BYTES_PER_MB),
      maxStallMs: MAX_STALL_MS,
      handleClose: (reason) => {
        closes.inc({reason});
      },
    };
    const bodies = new BodyMemory(computeBytes(bodiesMb, BODIES, memoryMb));
    return {api: {bodies, guard}};
  },
});

function createCloseCounter(registry: Registry): Counter<'reason'> {
  return new Counter({
    name: 'irisdock_gateway_guarded_closes_total',
    help: 'Connections closed as their clients sent too many requests ahead or did not read an answer, a count, by reason.',
    labelNames: ['reason'],
    registers: [registry],
  });
}

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
