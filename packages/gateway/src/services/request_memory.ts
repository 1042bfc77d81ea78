/**
 * The service `requestMemory`: the memory that this host gives to what callers,
 * endpoints and other hosts send to it. It depends on the memory of the host.
 */
import {
  BodyMemory,
  BufferBudget,
  createService,
  createServiceKey,
  DEFAULT_BACKLOG_BYTES,
  RequestBacklog,
  type ServerGuard,
} from '@irisdock/kernel';
import {Counter, type Registry} from 'prom-client';
import * as z from 'zod';
import {MAX_BODY_BYTES} from '../channels/body_reader.js';
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
 * The answers that are being read, and as much for those that wait for callers.
 * One of the longest fits at least, and two at most.
 */
const ANSWERS: MemoryPart = {
  divisor: 6,
  minMb: MAX_BODY_BYTES / BYTES_PER_MB,
  maxMb: (2 * MAX_BODY_BYTES) / BYTES_PER_MB,
};

/**
 * How long a client of a guarded server may take nothing of its answer, in ms:
 * callers on slow links may pause for some seconds while packets are lost.
 */
const MAX_STALL_MS = 10_000;

/** The memory for requests. */
export interface RequestMemory {
  readonly bodies: BodyMemory;
  /** Bounds the answers that are being read. */
  readonly answers: BufferBudget;
  /** The most bytes of answers that wait for their callers. */
  readonly maxUnreadBytes: number;
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
    answersMb: SIZE_SCHEMA.meta({
      unit: 'MB|auto',
      description:
        'The memory for the answers of endpoints that are being read, beyond which the largest is given up, and as much for answers that wait for their callers. auto is a sixth of what `[host] memoryMb` leaves beside 96 MB, from 8.4 to 16.8; 16.8 if that is not known.',
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
    const {answersMb, bodiesMb, backlogMb} = settings;
    const closes = createCloseCounter(context.metrics);
    const guard: ServerGuard = {
      backlog: new RequestBacklog(backlogMb * BYTES_PER_MB),
      maxStallMs: MAX_STALL_MS,
      handleClose: (reason) => {
        closes.inc({reason});
      },
    };
    const bodies = new BodyMemory(computeBytes(bodiesMb, BODIES, memoryMb));
    const answersOf = memoryMb === 0 ? Infinity : memoryMb;
    const maxUnreadBytes = computeBytes(answersMb, ANSWERS, answersOf);
    const answers = new BufferBudget(maxUnreadBytes);
    return {api: {bodies, answers, maxUnreadBytes, guard}};
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
