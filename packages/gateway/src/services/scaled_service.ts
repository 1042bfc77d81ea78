/**
 * The orders for one service: planned, saved with the lease of the task, and
 * sent one after another. An order whose outcome is not known is repeated until
 * it is, before anything else is planned; one that did nothing is planned again.
 */
import {
  ScalingPlan,
  type DomainCounts,
  type PoolOrder,
  type PoolView,
  type ScalingView,
} from '@irisdock/decisions';
import type {Clock, Logger} from '@irisdock/kernel';
import type {CallOutcome, PlatformApi} from '../model/platform_api.js';
import {formatScalingKey, type ScalingRow} from '../model/scaling_state.js';
import type {HeldLease, OrderSummary} from '../model/singleton_task.js';
import type {RowChange} from '../model/table_store.js';

/** Dependencies of the orders. */
export interface ScaledServiceParts {
  readonly api: Pick<PlatformApi, 'sendOrder'>;
  readonly clock: Clock;
  readonly log: Logger;
  /** Counts an order by what became of it. */
  readonly countOrder: (
    service: string,
    order: PoolOrder,
    outcome: CallOutcome['kind'],
  ) => void;
}

/** How often the orders are planned, in ms. */
const PLAN_INTERVAL_MS = 250;
/**
 * How long a step starts further calls, in ms. A slow platform must not keep the
 * runner of the task from its other work.
 */
const MAX_STEP_MS = 300;
/** The pause after a call that was not accepted for a passing reason, in ms. */
const RETRY_PAUSE_MS = 500;
const MAX_RETRY_PAUSE_MS = 8000;
/** The status of a call beyond the rate of calls. */
const RATE_STATUS = 429;
/** Statuses from this one on are faults of the platform, which may pass. */
const MIN_SERVER_ERROR_STATUS = 500;
/** How many renewals of the lease write a change, as one may be lost. */
const CHANGE_WRITES = 2;

/** Creates the view of the service as it is now; undefined if it is not scaled. */
export type CreateView = () => ScalingView | undefined;

/** Plans and sends the orders of one service. */
export class ScaledService {
  private pending: PoolOrder[] = [];
  private view: ScalingView | undefined;
  private nextAt = -Infinity;
  /** Until when no order is planned or sent after one that failed. */
  private pausedUntil = -Infinity;
  private pauseMs = RETRY_PAUSE_MS;
  /** How long the last call might take, in ms. */
  private callTimeoutMs = 0;
  private lastListed: string | undefined;
  private writesLeft = 0;

  constructor(
    readonly name: string,
    private readonly parts: ScaledServiceParts,
    private readonly plan: ScalingPlan,
  ) {}

  /** Creates the service as an earlier holder left it. */
  static createFrom(
    name: string,
    parts: ScaledServiceParts,
    row: ScalingRow,
  ): ScaledService {
    const plan = ScalingPlan.createFrom(row.plan, parts.clock.getNow());
    const service = new ScaledService(name, parts, plan);
    service.pending = row.pending;
    // The earlier holder may have sent them and got no answer.
    const now = parts.clock.getNow();
    for (const order of row.pending) plan.recordUnconfirmed(order, now);
    return service;
  }

  /** The pools as they were in the last step. */
  get present(): readonly PoolView[] {
    return this.view?.pools ?? [];
  }

  /** The counts in force and those that are aimed at. */
  listCounts(): Record<'ordered' | 'wanted', readonly DomainCounts[]> {
    const now = this.parts.clock.getNow();
    const {view} = this;
    const wanted = view === undefined ? [] : this.plan.listWanted(view, now);
    return {ordered: this.plan.listOrdered(), wanted};
  }

  /** Lists the orders in force and those that are about to be sent. */
  listOrders(): OrderSummary[] {
    const now = this.parts.clock.getNow();
    const accepted = this.plan.listOrders().map((order) => {
      const {givenAt} = order;
      const ageMs = givenAt === undefined ? undefined : now - givenAt;
      return this.createSummary(order, true, ageMs);
    });
    const pending = this.pending.map((order) =>
      this.createSummary(order, false, undefined),
    );
    return [...accepted, ...pending];
  }

  /** Whether the next step is due. */
  get isDue(): boolean {
    return this.parts.clock.getNow() >= this.nextAt;
  }

  /** Plans what is due, and sends it. */
  async step(lease: HeldLease, createView: CreateView): Promise<void> {
    const view = createView();
    if (view === undefined) return;
    this.view = view;
    const now = this.parts.clock.getNow();
    this.nextAt = now + PLAN_INTERVAL_MS;
    if (now < this.pausedUntil) {
      // A notice of some seconds must not be missed in a pause of 8 s.
      this.plan.update(view, now);
      return;
    }
    if (!(await this.planOrders(lease, view))) return;
    await this.sendPending(lease, createView);
  }

  /** The row, if it changed since the last renewals. */
  listChanges(): readonly RowChange[] {
    const change = this.createChange();
    if (change === undefined) return [];
    if (change.value !== this.lastListed) this.writesLeft = CHANGE_WRITES;
    if (this.writesLeft === 0) return [];
    this.writesLeft--;
    this.lastListed = change.value;
    return [change];
  }

  /**
   * Plans orders, or checks those that are not settled, and saves them if they
   * are new; tells whether there are any to send.
   */
  private async planOrders(
    lease: HeldLease,
    view: ScalingView,
  ): Promise<boolean> {
    const now = this.parts.clock.getNow();
    const {pending} = this;
    const orders =
      pending.length === 0
        ? this.plan.plan(view, now)
        : this.plan.updateOrders(pending, view, now);
    if (orders === undefined) return false;
    if (orders.every((order) => pending.includes(order))) {
      return orders.length > 0;
    }
    this.pending = orders;
    const change = this.createChange();
    if (change === undefined) return false;
    const saved = await lease.save([change]);
    if (saved.isOk()) return true;
    // The rows may be written later; then a new holder gives these orders.
    this.pending = pending;
    this.pause();
    const {kind} = saved.error;
    this.parts.log.writeWarning('Orders could not be saved.', {
      service: this.name,
      kind,
    });
    return false;
  }

  private async sendPending(
    lease: HeldLease,
    createView: CreateView,
  ): Promise<void> {
    const {clock} = this.parts;
    const until = clock.getNow() + MAX_STEP_MS;
    for (;;) {
      const [order] = this.pending;
      if (order === undefined || !lease.isHeld) return;
      if (clock.getNow() >= until) {
        this.nextAt = clock.getNow();
        return;
      }
      if (!this.isSafe(order, createView)) {
        // Those that may stand already are taken back in the next step.
        this.pending = this.pending.filter((one) =>
          this.plan.isUnconfirmed(one),
        );
        return;
      }
      const outcome = await this.send(lease, order);
      if (!this.handleOutcome(order, outcome)) {
        // The others were not sent, and are planned again when this passes.
        const isOpen = outcome.kind === 'unanswered';
        this.pending = isOpen ? [order] : [];
        // Another order must not arrive before a call that was given up.
        this.pause(isOpen ? this.callTimeoutMs : 0);
        return;
      }
      this.pauseMs = RETRY_PAUSE_MS;
      this.pending = this.pending.filter((entry) => entry !== order);
    }
  }

  /**
   * Whether an order may still be sent. Saving it may have taken as long as a
   * call to the store, in which endpoints were reclaimed or requests came.
   */
  private isSafe(order: PoolOrder, createView: CreateView): boolean {
    if (!this.plan.isReduction(order)) return true;
    const view = createView();
    if (view === undefined) return false;
    const now = this.parts.clock.getNow();
    const checked = this.plan.updateOrders([order], view, now);
    return checked?.includes(order) ?? false;
  }

  private async send(
    lease: HeldLease,
    {domain, kind, count}: PoolOrder,
  ): Promise<CallOutcome> {
    const order = {
      service: this.name,
      failureDomain: domain,
      count,
      isSpot: kind === 'spot',
    };
    return lease.sendCall((authority) => {
      this.callTimeoutMs = authority.timeoutMs;
      return this.parts.api.sendOrder(authority, order);
    });
  }

  /** Records what became of an order; tells whether it is settled. */
  private handleOutcome(order: PoolOrder, outcome: CallOutcome): boolean {
    const now = this.parts.clock.getNow();
    this.parts.countOrder(this.name, order, outcome.kind);
    this.writeLog(order, outcome);
    switch (outcome.kind) {
      case 'accepted':
        this.plan.recordAccepted(order, now);
        return true;
      case 'none-available':
        this.plan.recordRefused(order, now);
        return true;
      case 'rejected':
        if (isFault(outcome.status)) this.plan.recordUnconfirmed(order, now);
        if (isPassing(outcome.status)) return false;
        this.plan.recordRefused(order, now);
        return true;
      case 'unanswered':
        this.plan.recordUnconfirmed(order, now);
        return false;
      case 'not-sent':
        return false;
    }
  }

  private createSummary(
    {domain, kind, count}: Omit<PoolOrder, 'reason'>,
    isAccepted: boolean,
    ageMs: number | undefined,
  ): OrderSummary {
    const {name: service} = this;
    return {service, failureDomain: domain, kind, count, isAccepted, ageMs};
  }

  /** Pauses for longer after each failure, and at least for some time, in ms. */
  private pause(leastMs = 0): void {
    const pauseMs = Math.max(leastMs, this.pauseMs);
    this.pausedUntil = this.parts.clock.getNow() + pauseMs;
    this.pauseMs = Math.min(MAX_RETRY_PAUSE_MS, this.pauseMs * 2);
  }

  private createChange(): RowChange | undefined {
    const {pending} = this;
    const plan = this.plan.findState();
    if (plan === undefined) return undefined;
    const row = {plan, pending};
    return {key: formatScalingKey(this.name), value: JSON.stringify(row)};
  }

  private writeLog(order: PoolOrder, outcome: CallOutcome): void {
    const {domain, kind, count, reason} = order;
    this.parts.log.writeInfo('Ordered endpoints.', {
      service: this.name,
      domain,
      kind,
      count,
      reason,
      outcome: outcome.kind,
      ...('status' in outcome ? {status: outcome.status} : {}),
      ...('detail' in outcome ? {detail: outcome.detail} : {}),
    });
  }
}

/** Whether a rejected call may be accepted when it is repeated. */
function isPassing(status: number): boolean {
  return status === RATE_STATUS || isFault(status);
}

/** Whether a rejected call may have been carried out before it failed. */
function isFault(status: number): boolean {
  return status >= MIN_SERVER_ERROR_STATUS;
}
