/**
 * Decides the phases of rollouts for all hosts. It exists on every host and is
 * active on the first store reader. When two hosts are active at the same time,
 * a conditional write lets only one of them set how a rollout ended; the other
 * adopts that.
 */
import {decideNextPhase, type RolloutPhase} from '@irisdock/decisions';
import type {Clock, Logger} from '@irisdock/kernel';
import type {RolloutCodec, RolloutOutcome} from '../model/rollout_order.js';
import type {TableStore} from '../model/table_store.js';
import type {RolloutState} from '../serving/rollout_state.js';
import type {Rollouts, RolloutsParts} from '../serving/rollouts.js';

/** Dependencies of the decider. */
export interface RolloutDeciderParts {
  readonly rollouts: Rollouts;
  readonly bounds: RolloutsParts['bounds'];
  readonly store: TableStore;
  readonly codec: RolloutCodec;
  readonly clock: Clock;
  readonly log: Logger;
  /** Lists the names of the hosts that serve. */
  readonly listHosts: () => readonly string[];
  /** Sends the phase to all hosts. */
  readonly publishPhase: (state: RolloutState) => void;
}

/** The phase that follows from a status in the store. */
const STATUS_PHASES: Readonly<Record<RolloutOutcome, RolloutPhase>> = {
  running: 'trial',
  completed: 'completed',
  'rolled-back': 'rolled-back',
};

interface StoredStatus {
  readonly outcome: RolloutOutcome | undefined;
  /** The revision of the row; 0 when there is none. */
  readonly revision: number;
}

/** Decides the next phase of a rollout and writes its status. */
export class RolloutDecider {
  /** The last known status of each rollout in the store. */
  private readonly statuses = new Map<RolloutState, StoredStatus>();

  constructor(private readonly parts: RolloutDeciderParts) {}

  /** Drops the cached statuses: the store may have lost them. */
  dropStatuses(): void {
    this.statuses.clear();
  }

  /** Decides and writes the next phase of one rollout. */
  async step(state: RolloutState): Promise<void> {
    const written = this.statuses.get(state) ?? (await this.readStatus(state));
    if (written === undefined) return;
    if (state.phase === 'announced') {
      if (await this.writeStatus(state, 'running')) {
        this.applyPhase(state, 'trial');
      }
      return;
    }
    const next = decideNextPhase(this.createView(state));
    // Written before the phase is applied: the old endpoints are stopped as
    // soon as the operator reads this status.
    const isEnd = next === 'completed' && state.phase !== 'completed';
    if (isEnd && !(await this.writeStatus(state, 'completed'))) return;
    if (next !== state.phase) this.applyPhase(state, next);
    // Written again after the end, as a restored store may have lost it.
    if (state.phase === 'completed' || state.phase === 'rolled-back') {
      await this.writeStatus(state, state.phase);
    }
  }

  private createView(
    state: RolloutState,
  ): Parameters<typeof decideNextPhase>[0] {
    const {rollouts, bounds, clock, listHosts} = this.parts;
    const newEndpoints = rollouts.listNewEndpoints(state).length;
    return state.createView(listHosts(), newEndpoints, bounds, clock.getNow());
  }

  private applyPhase(state: RolloutState, phase: RolloutPhase): void {
    if (!state.setPhase(phase)) return;
    const {verdict, trialSends, requests} = this.createView(state);
    this.parts.log.writeInfo('Rollout phase changed.', {
      service: state.order.service,
      version: state.order.version,
      phase,
      verdict,
      trialSends,
      requests,
    });
    this.parts.rollouts.handlePhaseChange(state);
    this.parts.publishPhase(state);
  }

  /** Reads the status from the store; undefined when the read failed. */
  private async readStatus(
    state: RolloutState,
  ): Promise<StoredStatus | undefined> {
    const {store, codec} = this.parts;
    const rows = await store.readAll('rollouts');
    if (rows.isErr()) return undefined;
    const key = codec.formatStatusKey(state.order.service);
    const row = rows.value.rows.find((candidate) => candidate.key === key);
    const revision = row?.revision ?? 0;
    const status =
      row?.value === undefined ? undefined : codec.decodeStatus(row.value);
    // A status with a lower revision than the order belongs to an earlier
    // order.
    const isOfOrder =
      revision > state.revision && status?.version === state.order.version;
    const outcome = isOfOrder ? status.outcome : undefined;
    const written = {outcome, revision};
    this.statuses.set(state, written);
    if (outcome !== undefined) this.applyPhase(state, STATUS_PHASES[outcome]);
    return written;
  }

  /** Writes the status; returns false when the write is not confirmed. */
  private async writeStatus(
    state: RolloutState,
    outcome: RolloutOutcome,
  ): Promise<boolean> {
    const {store, codec, log} = this.parts;
    const written = this.statuses.get(state);
    if (written?.outcome === outcome) return true;
    if (written === undefined) return false;
    const {service, version} = state.order;
    const key = codec.formatStatusKey(service);
    const value = codec.encodeStatus(service, {outcome, version});
    // Dropped so that the status is read again before the next write.
    this.statuses.delete(state);
    const result = await store.writeIf(
      'rollouts',
      key,
      value,
      written.revision,
    );
    if (result.isErr()) {
      const {kind} = result.error;
      log.writeWarning('Failed to write a rollout status.', {
        service,
        outcome,
        kind,
      });
      return false;
    }
    log.writeInfo('Rollout status written.', {service, outcome});
    const now = await this.readStatus(state);
    return now === undefined || now.outcome === outcome;
  }
}
