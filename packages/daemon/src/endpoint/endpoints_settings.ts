/** The settings of the service `endpoints`: how often it looks, and at what. */
import * as z from 'zod';

/** The settings. */
export const ENDPOINTS_SETTINGS = z.object({
  pollMs: z.coerce.number().int().min(50).default(500).meta({
    unit: 'ms',
    description: 'The shortest time between two looks at an endpoint.',
  }),
  looksPerSecond: z.coerce.number().min(1).default(4).meta({
    unit: 'looks/s',
    description: 'Looks at all endpoints together; they take longer turns.',
  }),
  pollTimeoutMs: z.coerce.number().int().min(20).default(400).meta({
    unit: 'ms',
    description: 'The longest that an endpoint may take to answer a look.',
  }),
  subsetSize: z.coerce.number().int().min(1).default(128).meta({
    unit: 'endpoints',
    description: 'The most endpoints of one service that this host uses.',
  }),
  maxBlocks: z.coerce.number().int().min(0).default(20_000).meta({
    unit: 'blocks',
    description: 'Prefix blocks remembered for each endpoint.',
  }),
});
