/**
 * Decides on roll-outs for all hosts. It runs on every host and acts on the one
 * that reads the store first in line; when two do so at once, the condition of
 * the store's write lets one of them set how a roll-out ended, and the other
 * takes that over.
 */
import {decideNextPhase, type RolloutPhase} from '@irisdock/decisions';
import type {Clock, Logger} from '@irisdock/kernel';
import type {RolloutCodec, RolloutOutcome} from '../model/rollout_order.js';
import type {TableStore} from '../model/table_store.js';
import type {RolloutState} from '../serving/rollout_state.js';
import type {Rollouts, RolloutsParts} from '../serving/rollouts.js';

/** What the decider needs of the rest. */
export interface RolloutDeciderParts {
  readonly rollouts: Rollouts;
  readonly bounds: RolloutsParts['bounds'];
  readonly store: TableStore;
  readonly codec: RolloutCodec;
  readonly clock: Clock;
  readonly log: Logger;
  /** Lists the names of the hosts that serve. */
  readonly listHosts: () => readonly string[];
  /** Tells all hosts the phase. */
  readonly publishPhase: (state: RolloutState) => void;
}

/** The phase of a host that reads how a roll-out stands. */
const PHASES: Readonly<Record<RolloutOutcome, RolloutPhase>> = {
  running: 'trial',
  completed: 'completed',
  'rolled-back': 'rolled-back',
};

interface WrittenStatus {
  readonly outcome: RolloutOutcome | undefined;
  /** The revision of the row; 0 when there is none. */
  readonly revision: number;
}

/** Decides. */
export class RolloutDecider {
  /** What the store holds of each roll-out, as far as it is known here. */
  private readonly written = new Map<RolloutState, WrittenStatus>();

  constructor(private readonly parts: RolloutDeciderParts) {}

  /** Forgets which statuses are written: the store may have lost them. */
  dropStatuses(): void {
    this.written.clear();
  }

  /** Does what is due for one roll-out. */
  async step(state: RolloutState): Promise<void> {
    const written = this.written.get(state) ?? (await this.readStatus(state));
    if (written === undefined) return;
    if (state.phase === 'announced') {
      if (await this.writeStatus(state, 'running')) {
        this.applyPhase(state, 'trial');
      }
      return;
    }
    const next = decideNextPhase(this.createView(state));
    // Old endpoints stop as soon as the operator reads of the end.
    const isEnd = next === 'completed' && state.phase !== 'completed';
    if (isEnd && !(await this.writeStatus(state, 'completed'))) return;
    if (next !== state.phase) this.applyPhase(state, next);
    // Repeated after the end, as a restored store may have lost it.
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
    this.parts.log.writeInfo('A roll-out was decided on.', {
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

  /** Reads how the store says it stands; undefined when it did not answer. */
  private async readStatus(
    state: RolloutState,
  ): Promise<WrittenStatus | undefined> {
    const {store, codec} = this.parts;
    const rows = await store.readAll('rollouts');
    if (rows.isErr()) return undefined;
    const key = codec.formatStatusKey(state.order.service);
    const row = rows.value.rows.find((one) => one.key === key);
    const revision = row?.revision ?? 0;
    const status =
      row?.value === undefined ? undefined : codec.decodeStatus(row.value);
    // What was written before the order is of an earlier one.
    const isOfOrder =
      revision > state.revision && status?.version === state.order.version;
    const outcome = isOfOrder ? status.outcome : undefined;
    const written = {outcome, revision};
    this.written.set(state, written);
    if (outcome !== undefined) this.applyPhase(state, PHASES[outcome]);
    return written;
  }

  /** Writes how it stands; false when it is not known to be written. */
  private async writeStatus(
    state: RolloutState,
    outcome: RolloutOutcome,
  ): Promise<boolean> {
    const {store, codec, log} = this.parts;
    const written = this.written.get(state);
    if (written?.outcome === outcome) return true;
    if (written === undefined) return false;
    const {service, version} = state.order;
    const key = codec.formatStatusKey(service);
    const value = codec.encodeStatus(service, {outcome, version});
    // What it becomes is read again before anything else is written.
    this.written.delete(state);
    const result = await store.writeIf(
      'rollouts',
      key,
      value,
      written.revision,
    );
    if (result.isErr()) {
      const {kind} = result.error;
      log.writeWarning('How a roll-out stands could not be written.', {
        service,
        outcome,
        kind,
      });
      return false;
    }
    log.writeInfo('How a roll-out stands was written.', {service, outcome});
    const now = await this.readStatus(state);
    return now === undefined || now.outcome === outcome;
  }
}
