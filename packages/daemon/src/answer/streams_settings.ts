/** The settings of the service `streams`: its timeouts and retention times. */
import {DEFAULT_STALL_BOUNDS} from '@irisdock/decisions';
import * as z from 'zod';

/** The settings. */
export const STREAMS_SETTINGS = z.object({
  minProbeMs: z.coerce
    .number()
    .int()
    .min(20)
    .default(DEFAULT_STALL_BOUNDS.minProbeMs)
    .meta({
      unit: 'ms',
      description: 'Minimum time without events before an engine is probed.',
    }),
  maxProbeMs: z.coerce
    .number()
    .int()
    .min(20)
    .default(DEFAULT_STALL_BOUNDS.maxProbeMs)
    .meta({
      unit: 'ms',
      description: 'Maximum time without events before an engine is probed.',
    }),
  minLostMs: z.coerce
    .number()
    .int()
    .min(50)
    .default(DEFAULT_STALL_BOUNDS.minLostMs)
    .meta({
      unit: 'ms',
      description: 'Shortest gap that loses a stream whose engine answers.',
    }),
  maxLostMs: z.coerce
    .number()
    .int()
    .min(100)
    .default(DEFAULT_STALL_BOUNDS.maxLostMs)
    .meta({
      unit: 'ms',
      description: 'Longest gap in a stream whose engine answers.',
    }),
  probeTimeoutMs: z.coerce.number().int().min(20).default(300).meta({
    unit: 'ms',
    description: 'Timeout of a probe of an engine.',
  }),
  minFirstTokenMs: z.coerce.number().int().min(100).default(2000).meta({
    unit: 'ms',
    description: 'Lower bound of the time limit for a first token.',
  }),
  firstTokenMs: z.coerce.number().int().min(100).default(20_000).meta({
    unit: 'ms',
    description: 'Upper bound of the time limit for a first token.',
  }),
  maxSilenceMs: z.coerce.number().int().min(100).default(20_000).meta({
    unit: 'ms',
    description: 'How long a silent engine is kept if no other can take over.',
  }),
  resumeWaitMs: z.coerce.number().int().min(0).default(8000).meta({
    unit: 'ms',
    description: 'How long to search for an endpoint after a loss.',
  }),
  keepEndedMs: z.coerce.number().int().min(0).default(30_000).meta({
    unit: 'ms',
    description: 'How long the text of a finished answer is kept.',
  }),
  graceMs: z.coerce.number().int().min(0).default(8000).meta({
    unit: 'ms',
    description: 'How long a generation waits for its caller to reconnect.',
  }),
});
