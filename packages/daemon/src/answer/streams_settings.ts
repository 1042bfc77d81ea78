/** The settings of the service `streams`: how patient it is, and with whom. */
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
      description: 'The shortest silence after which an engine is asked.',
    }),
  maxProbeMs: z.coerce
    .number()
    .int()
    .min(20)
    .default(DEFAULT_STALL_BOUNDS.maxProbeMs)
    .meta({
      unit: 'ms',
      description: 'The longest silence before an engine is asked.',
    }),
  minLostMs: z.coerce
    .number()
    .int()
    .min(50)
    .default(DEFAULT_STALL_BOUNDS.minLostMs)
    .meta({
      unit: 'ms',
      description: 'The shortest silence that loses an engine that answers.',
    }),
  maxLostMs: z.coerce
    .number()
    .int()
    .min(100)
    .default(DEFAULT_STALL_BOUNDS.maxLostMs)
    .meta({
      unit: 'ms',
      description: 'The longest silence of an engine that answers.',
    }),
  probeTimeoutMs: z.coerce.number().int().min(20).default(300).meta({
    unit: 'ms',
    description: 'The longest that an engine may take to answer a probe.',
  }),
  minFirstTokenMs: z.coerce.number().int().min(100).default(2000).meta({
    unit: 'ms',
    description: 'The least that the wait for a first token is bounded to.',
  }),
  firstTokenMs: z.coerce.number().int().min(100).default(20_000).meta({
    unit: 'ms',
    description: 'The longest wait for the first token of an engine.',
  }),
  resumeWaitMs: z.coerce.number().int().min(0).default(8000).meta({
    unit: 'ms',
    description: 'How long an endpoint is looked for after a loss.',
  }),
  keepEndedMs: z.coerce.number().int().min(0).default(30_000).meta({
    unit: 'ms',
    description: 'How long the text of an ended answer is kept.',
  }),
  graceMs: z.coerce.number().int().min(0).default(8000).meta({
    unit: 'ms',
    description: 'How long a generation waits for its caller to come back.',
  }),
});
