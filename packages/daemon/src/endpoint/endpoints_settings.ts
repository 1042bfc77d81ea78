/** The settings of the service `endpoints`: polls, subset, prefixes. */
import * as z from 'zod';

/** The settings. */
export const ENDPOINTS_SETTINGS = z.object({
  pollMs: z.coerce.number().int().min(50).default(500).meta({
    unit: 'ms',
    description: 'The shortest time between two polls of an endpoint.',
  }),
  looksPerSecond: z.coerce.number().min(1).default(4).meta({
    unit: 'looks/s',
    description: 'Polls of all endpoints together; intervals grow to fit.',
  }),
  pollTimeoutMs: z.coerce.number().int().min(20).default(400).meta({
    unit: 'ms',
    description: 'Timeout of a poll of an endpoint.',
  }),
  subsetSize: z.coerce.number().int().min(1).default(128).meta({
    unit: 'endpoints',
    description: 'Maximum number of endpoints per service that a host uses.',
  }),
  maxBlocks: z.coerce.number().int().min(0).default(20_000).meta({
    unit: 'blocks',
    description: 'Maximum number of prefix blocks tracked per endpoint.',
  }),
});
