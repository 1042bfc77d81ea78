/** One acquisition of a task's lease, as the task uses it. */
import type {Result} from 'neverthrow';
import type {CallAuthority, CallOutcome} from '../model/platform_api.js';
import type {HeldLease, RowCondition} from '../model/singleton_task.js';
import type {RowChange, StoreError, TableRow} from '../model/table_store.js';
import type {TaskLease} from './task_lease.js';

/** One acquisition of a lease: it ends for good when the lease is lost. */
export class LeaseTerm implements HeldLease {
  /** @param handleOutcome Takes what became of each call. */
  constructor(
    private readonly lease: TaskLease,
    readonly fence: number,
    private readonly handleOutcome: (
      term: LeaseTerm,
      outcome: CallOutcome,
    ) => void,
  ) {}

  get era(): number {
    return this.lease.era;
  }

  get isHeld(): boolean {
    return this.lease.fence === this.fence;
  }

  save(
    changes: readonly RowChange[],
    conditions: readonly RowCondition[] = [],
  ): Promise<Result<void, StoreError>> {
    return this.lease.save(this.fence, changes, conditions);
  }

  load(prefix: string): Promise<Result<readonly TableRow[], StoreError>> {
    return this.lease.load(prefix);
  }

  async sendCall(
    send: (authority: CallAuthority) => Promise<CallOutcome>,
  ): Promise<CallOutcome> {
    const outcome = await this.lease.sendCall(this.fence, send);
    this.handleOutcome(this, outcome);
    return outcome;
  }
}
