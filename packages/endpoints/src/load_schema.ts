/** The load report as endpoints send it. */
import * as z from 'zod';

/** A load report. */
export const LOAD_SCHEMA = z.object({
  running: z.number(),
  queued: z.number(),
  slots: z.number(),
  models: z.array(z.string()),
  adapters: z.array(z.string()),
  ageMs: z.number(),
});
