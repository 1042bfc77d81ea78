/**
 * The roll-outs that are under way, as the drivers of requests see them: which
 * endpoints are open, which requests are trials, and how they were answered.
 * Where none is ordered, nothing is counted and every endpoint is open.
 */
import {
  countTrialEndpoints,
  hashText,
  type ExposureBounds,
} from '@irisdock/decisions';
import type {Clock, Logger} from '@irisdock/kernel';
import type {RolloutOrder} from '../model/rollout_order.js';
import type {EndpointRecord} from './endpoint_record.js';
import {RolloutState, type RolloutSide} from './rollout_state.js';

/** Lists what this needs of endpoints. */
export interface RolloutEndpoints {
  listAll(): Iterable<EndpointRecord>;
}

/** What the roll-outs need of the rest. */
export interface RolloutsParts {
  readonly clock: Clock;
  readonly log: Logger;
  readonly bounds: ExposureBounds;
  readonly endpoints: RolloutEndpoints;
  /** Gives the number of hosts that take requests. */
  readonly countHosts: () => number;
  /** Called when this host has gone on to another phase by itself. */
  readonly handleChange: (state: RolloutState) => void;
}

/** How an endpoint answered a request. */
export interface AnswerOutcome {
  readonly route: string;
  readonly isFailed: boolean;
  /** The time that says how fast it was, in ms. */
  readonly ms: number;
}

/** The roll-outs. */
export class Rollouts {
  /** By service. */
  private readonly states = new Map<string, RolloutState>();

  constructor(private readonly parts: RolloutsParts) {}

  /** Lists the roll-outs that are known. */
  listStates(): Iterable<RolloutState> {
    return this.states.values();
  }

  /** Whether none was ever ordered. */
  get isEmpty(): boolean {
    return this.states.size === 0;
  }

  find(service: string): RolloutState | undefined {
    return this.states.get(service);
  }

  /** Takes an order; one that is known already changes nothing. */
  addOrder(order: RolloutOrder, revision: number): void {
    const {service} = order;
    const known = this.states.get(service);
    if (known !== undefined && known.revision >= revision) return;
    const now = this.parts.clock.getNow();
    this.states.set(service, new RolloutState(order, revision, now));
    this.parts.log.writeInfo('A roll-out is ordered.', {
      service,
      version: order.version,
      durationMs: order.durationMs,
    });
    this.updateEndpoints();
  }

  /** Takes it that the order of a service was withdrawn. */
  removeOrder(service: string): void {
    const state = this.states.get(service);
    if (state === undefined || state.isOver) return;
    if (state.setPhase('rolled-back')) this.handlePhaseChange(state);
  }

  /** Works out anew which endpoints are open. */
  updateEndpoints(): void {
    if (this.states.size === 0) return;
    const records = [...this.parts.endpoints.listAll()];
    for (const {entry} of records) {
      this.states.get(entry.service)?.addVersion(entry.version);
    }
    const withNew = new Set<RolloutState>();
    const withOld = new Set<RolloutState>();
    for (const state of this.states.values()) {
      if (this.listNewEndpoints(state).length > 0) withNew.add(state);
      if (this.listSide(state, 'old').length > 0) withOld.add(state);
    }
    for (const record of records) {
      const state = this.states.get(record.entry.service);
      if (state === undefined) continue;
      const side = state.getSide(record);
      const hasNew = withNew.has(state);
      record.isExcludedByRollout = !state.isOpen(
        side,
        hasNew,
        withOld.has(state),
      );
    }
  }

  /** Counts a request of a service. */
  recordRequest(service: string): void {
    const state = this.states.get(service);
    if (state !== undefined) state.counts.requests++;
  }

  /** Gives the endpoints for a request that is to be a trial. */
  takeTrial(service: string): readonly EndpointRecord[] | undefined {
    const state = this.states.get(service);
    if (state?.phase !== 'trial') return undefined;
    const {bounds, countHosts} = this.parts;
    const found = this.listNewEndpoints(state);
    if (found.length === 0) return undefined;
    if (!state.takeTrial(bounds, countHosts())) return undefined;
    const ranked = found.map((record) => ({
      record,
      rank: hashText(record.instanceId),
    }));
    ranked.sort((a, b) => a.rank - b.rank);
    const count = countTrialEndpoints(bounds, found.length);
    return ranked.slice(0, count).map(({record}) => record);
  }

  /** Takes how an endpoint answered. */
  recordAnswer(record: EndpointRecord, answer: AnswerOutcome): void {
    const state = this.states.get(record.entry.service);
    if (state === undefined) return;
    const side = state.getSide(record);
    if (side === 'other') return;
    const {instanceId} = record;
    const seen = {...answer, instanceId, isNew: side === 'new'};
    if (state.addAnswer(seen)) this.handlePhaseChange(state);
  }

  /** Whether the memory of a run may be copied from one to the other. */
  isSameSide(one: EndpointRecord, other: EndpointRecord): boolean {
    const state = this.states.get(one.entry.service);
    if (state === undefined) return true;
    return state.getSide(one) === state.getSide(other);
  }

  /** Lists the new endpoints that can take requests. */
  listNewEndpoints(state: RolloutState): EndpointRecord[] {
    return this.listSide(state, 'new').filter((record) => record.isReady);
  }

  /** Counts what this host has running on old endpoints. */
  countOldRunning(state: RolloutState): number {
    let running = 0;
    for (const record of this.listSide(state, 'old')) {
      running += record.getOwnUse().running;
    }
    return running;
  }

  /** Tells of a change that was made here, and opens what it opens. */
  handlePhaseChange(state: RolloutState): void {
    const {service, version} = state.order;
    const {phase, counts} = state;
    this.parts.log.writeInfo('A roll-out goes on.', {
      service,
      version,
      phase,
      requests: counts.requests,
      trialSends: counts.trialSends,
    });
    this.updateEndpoints();
    this.parts.handleChange(state);
  }

  private listSide(state: RolloutState, side: RolloutSide): EndpointRecord[] {
    const list: EndpointRecord[] = [];
    for (const record of this.parts.endpoints.listAll()) {
      if (record.entry.service !== state.order.service) continue;
      if (state.getSide(record) === side) list.push(record);
    }
    return list;
  }
}
