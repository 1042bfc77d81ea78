/** The lagging list of live and leaving hosts. */
import * as z from 'zod';

/** A host as the list shows it. */
export const HOST_SCHEMA = z.object({
  address: z.string(),
  role: z.enum(['entry', 'endpoint']),
  service: z.string().optional(),
  failureDomain: z.string(),
  state: z.enum(['live', 'leaving']),
});
type Host = z.infer<typeof HOST_SCHEMA>;

/** The body that sets the true hosts. */
export const HOSTS_SCHEMA = z.object({hosts: z.array(HOST_SCHEMA)});

/** Shows each state of the hosts only after the lag. */
export class HostList {
  private shown: readonly Host[] = [];
  private coming: {at: number; hosts: readonly Host[]}[] = [];

  constructor(private readonly lagMs: number) {}

  /** Sets the true hosts. */
  set(hosts: readonly Host[], nowMs: number): void {
    this.coming.push({at: nowMs + this.lagMs, hosts});
  }

  /** Gives the hosts as they were one lag ago. */
  get(nowMs: number): readonly Host[] {
    while (this.coming[0] !== undefined && this.coming[0].at <= nowMs) {
      this.shown = this.coming.shift()?.hosts ?? [];
    }
    return this.shown;
  }
}
