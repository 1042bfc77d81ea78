/**
 * Tasks that only one host of the deployment performs at a time: the interfaces
 * between a task, the runner that holds its lease, and the store.
 */
import type {CapacityKind} from '@irisdock/decisions';
import {createServiceKey} from '@irisdock/kernel';
import type {Result} from 'neverthrow';
import type {CallAuthority, CallOutcome} from './platform_api.js';
import type {RowChange, StoreError, TableRow} from './table_store.js';

/** The names of the tasks. */
export const TASK_NAMES = ['usage', 'scaling'] as const;
/** The name of a task. */
export type TaskName = (typeof TASK_NAMES)[number];

/** A row that must have a revision for a commit to take effect. */
export interface RowCondition {
  readonly key: string;
  /** The expected revision; 0 for a row that does not exist. */
  readonly revision: number;
}

/** The store's table of tasks: their leases and their state. */
export interface TaskStore {
  /** Reads the rows whose key begins with a prefix. */
  readTaskRows(
    prefix: string,
  ): Promise<Result<readonly TableRow[], StoreError>>;
  /**
   * Writes rows atomically if all conditions hold; fails with `store_conflict`
   * otherwise.
   *
   * @returns The revision of the written rows.
   */
  commitTaskRows(
    conditions: readonly RowCondition[],
    changes: readonly RowChange[],
  ): Promise<Result<number, StoreError>>;
}

/** The lease of a task, as its holder uses it. */
export interface HeldLease {
  readonly fence: number;
  /** The era of the store when the row of the lease was last seen. */
  readonly era: number;
  /** Whether calls may be started now. */
  readonly isHeld: boolean;
  /**
   * Writes rows of the task in one transaction that also renews the lease. Keys
   * are relative to the task. Fails when the lease was lost; after an error
   * other than `store_conflict`, the rows may have been written, or may be
   * written later.
   */
  save(
    changes: readonly RowChange[],
    conditions?: readonly RowCondition[],
  ): Promise<Result<void, StoreError>>;
  /** Reads the rows of the task; keys are relative to the task. */
  load(prefix: string): Promise<Result<readonly TableRow[], StoreError>>;
  /** Makes one call with the lease's authority; one at a time. */
  sendCall(
    send: (authority: CallAuthority) => Promise<CallOutcome>,
  ): Promise<CallOutcome>;
}

/**
 * What is known of the report of a window: accepted in time (`sent`) or after it
 * was due (`late`); not reported (`missing`); final, and the platform may or may
 * not have it (`uncertain`) or has not got it (`unsent`).
 */
export type WindowResult = 'late' | 'missing' | 'sent' | 'uncertain' | 'unsent';

/** A window of usage reports as operators see it. */
export interface WindowSummary {
  /** The number of the window since the start of 1970. */
  readonly window: number;
  readonly result: WindowResult;
  /** How long ago it ended, in ms. */
  readonly endedMs: number;
}

/** An order of endpoints as operators see it. */
export interface OrderSummary {
  readonly service: string;
  readonly failureDomain: string;
  readonly kind: CapacityKind;
  /** How many endpoints the pool shall hold. */
  readonly count: number;
  /** Whether the platform accepted it; otherwise it is about to be sent. */
  readonly isAccepted: boolean;
  /**
   * How long ago it was accepted, in ms; undefined for one of an earlier holder
   * or one that is not accepted.
   */
  readonly ageMs: number | undefined;
}

/** What the holder of a task has done; empty at other hosts. */
export interface TaskActivity {
  /** The last windows, oldest first. */
  readonly windows: readonly WindowSummary[];
  readonly orders: readonly OrderSummary[];
}

/** A task. */
export interface SingletonTask {
  readonly name: TaskName;
  /**
   * Loads the state that an earlier holder left; called once after each
   * acquisition, before the first step, and again after it returned false.
   */
  start(lease: HeldLease): Promise<boolean>;
  /** Does what is due now; called again after a short pause while held. */
  step(lease: HeldLease): Promise<void>;
  /** The rows to be written with the next renewal of the lease. */
  listRenewalChanges(): readonly RowChange[];
  /** What this host has done as the holder, for operators. */
  getActivity(): TaskActivity;
  /** The lease was lost; no more calls are made. */
  stop(): void;
}

/** What the rest of the gateway knows of the tasks. */
export interface TaskRegistry {
  /** Whether this deployment asks for a task. */
  isEnabled(name: TaskName): boolean;
  /** Adds the implementation of a task; it runs if the task is enabled. */
  register(task: SingletonTask): void;
  /** The hosts that may hold a task, best first. */
  listCandidates(name: TaskName): readonly string[];
  /** Whether this host holds a task now. */
  isHolder(name: TaskName): boolean;
}

/** The key of the service `tasks`. */
export const TASKS = createServiceKey<TaskRegistry>('tasks');
