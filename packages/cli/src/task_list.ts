/** The singleton tasks as a gateway gives them: `GET /v1/tasks`. */
import * as z from 'zod';

/** Tasks that one host performs, as a gateway last saw them. */
export const TASKS_SCHEMA = z.object({
  tasks: z.array(
    z.object({
      task: z.string(),
      holder: z.string().nullable(),
      fence: z.number(),
      ageSeconds: z.number().nullable(),
      isHolder: z.boolean(),
      candidates: z.array(z.string()),
      windows: z.array(
        z.object({
          window: z.number(),
          result: z.string(),
          endedSecondsAgo: z.number(),
        }),
      ),
      orders: z.array(
        z.object({
          service: z.string(),
          failureDomain: z.string(),
          kind: z.string(),
          count: z.number(),
          isAccepted: z.boolean(),
          acceptedSecondsAgo: z.number().nullable(),
        }),
      ),
    }),
  ),
});
/** A task that one host performs. */
export type TaskEntry = z.infer<typeof TASKS_SCHEMA>['tasks'][number];
