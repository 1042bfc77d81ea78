/**
 * Holds the calls of singleton tasks, as they arrived at the platform's API,
 * against the rules of fencing tokens: none of two holders, none lower than an
 * earlier one, and no holders in the order A, B, A within the lease.
 */
import type {ApiCall} from '@irisdock/users-platform/fixtures';
import type {Disturbances} from './disturbances.js';

/** The lease of the tasks, in ms; the shortest that hosts accept. */
export const LEASE_MS = 1000;
/** Calls that arrive so long after their sender's thaw are not ordered, in ms. */
const THAW_SLACK_MS = 300;

/** The calls of one subject so far. */
class SubjectCalls {
  /** The first holder of each token. */
  readonly holders = new Map<number, string>();
  readonly lastAt = new Map<string, number>();
  highest = -Infinity;
  lastHolder = '';
}

/** The witness. */
export class TaskCallWitness {
  /** What broke a rule, in words that name who and what. */
  readonly faults: string[] = [];
  private readonly subjects = new Map<string, SubjectCalls>();

  constructor(private readonly disturbances: Disturbances) {}

  /** Records a call that arrived. */
  recordCall({subject, holder, fence}: ApiCall, at: number): void {
    const calls = this.subjects.get(subject) ?? new SubjectCalls();
    this.subjects.set(subject, calls);
    const call = `${subject}: token ${fence} of ${holder}`;
    const first = calls.holders.get(fence) ?? holder;
    calls.holders.set(fence, first);
    if (first !== holder) this.faults.push(`${call} was sent by ${first}`);
    if (this.isAfterThaw(holder, at)) return;
    if (fence < calls.highest) {
      this.faults.push(`${call} came after ${calls.highest}`);
    }
    const awayMs = at - (calls.lastAt.get(holder) ?? -Infinity);
    if (calls.lastHolder !== holder && awayMs < LEASE_MS) {
      const other = `${calls.lastHolder} between, in ${Math.round(awayMs)} ms`;
      this.faults.push(`${call} came with ${other}`);
    }
    calls.highest = Math.max(calls.highest, fence);
    calls.lastAt.set(holder, at);
    calls.lastHolder = holder;
  }

  /** Whether the sender's freeze, or the harm to its links, has just ended. */
  private isAfterThaw(sender: string, at: number): boolean {
    return this.disturbances
      .listBetween(sender, at - THAW_SLACK_MS, at)
      .some(({part, host, isPlanned, until = Infinity}) => {
        const isOfSender = part === 'hosts' && host === sender && !isPlanned;
        return isOfSender && until <= at;
      });
  }
}
