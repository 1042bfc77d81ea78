/**
 * The rollouts in progress, as the drivers of requests use them: which
 * endpoints get usual requests, which requests are trials of the new version,
 * and how they were answered. Without a rollout nothing is counted and every
 * endpoint is open.
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

/** Lists the endpoints that rollouts apply to. */
export interface RolloutEndpoints {
  listAll(): Iterable<EndpointRecord>;
}

/** Dependencies of the rollouts. */
export interface RolloutsParts {
  readonly clock: Clock;
  readonly log: Logger;
  readonly bounds: ExposureBounds;
  readonly endpoints: RolloutEndpoints;
  /** Returns the number of hosts that take requests. */
  readonly countHosts: () => number;
  /** Called when this host advances a rollout to another phase. */
  readonly handleChange: (state: RolloutState) => void;
}

/** How an endpoint answered a request. */
export interface AnswerOutcome {
  readonly route: string;
  readonly isFailed: boolean;
  /** The time to the answer or first event, or between events, in ms. */
  readonly ms: number;
}

/** Keeps the rollouts of all services. */
export class Rollouts {
  /** The rollout states, by service. */
  private readonly states = new Map<string, RolloutState>();

  constructor(private readonly parts: RolloutsParts) {}

  /** Lists the known rollouts. */
  listStates(): Iterable<RolloutState> {
    return this.states.values();
  }

  /** Whether no rollout was ever ordered. */
  get isEmpty(): boolean {
    return this.states.size === 0;
  }

  find(service: string): RolloutState | undefined {
    return this.states.get(service);
  }

  /** Adds an order; one with a known revision changes nothing. */
  addOrder(order: RolloutOrder, revision: number): void {
    const {service} = order;
    const known = this.states.get(service);
    if (known !== undefined && known.revision >= revision) return;
    const now = this.parts.clock.getNow();
    this.states.set(service, new RolloutState(order, revision, now));
    this.parts.log.writeInfo('A rollout was ordered.', {
      service,
      version: order.version,
      durationMs: order.durationMs,
    });
    this.updateEndpoints();
  }

  /** Rolls back the rollout of a service whose order was withdrawn. */
  removeOrder(service: string): void {
    const state = this.states.get(service);
    if (state === undefined || state.isOver) return;
    if (state.setPhase('rolled-back')) this.handlePhaseChange(state);
  }

  /** Updates which endpoints get usual requests. */
  updateEndpoints(): void {
    if (this.states.size === 0) return;
    const records = [...this.parts.endpoints.listAll()];
    for (const {entry} of records) {
      this.states.get(entry.service)?.addVersion(entry.version);
    }
    const statesWithNew = new Set<RolloutState>();
    const statesWithOld = new Set<RolloutState>();
    for (const state of this.states.values()) {
      if (this.listNewEndpoints(state).length > 0) statesWithNew.add(state);
      if (this.listSide(state, 'old').length > 0) statesWithOld.add(state);
    }
    for (const record of records) {
      const state = this.states.get(record.entry.service);
      if (state === undefined) continue;
      const side = state.getSide(record);
      const hasNew = statesWithNew.has(state);
      record.isExcludedByRollout = !state.isOpen(
        side,
        hasNew,
        statesWithOld.has(state),
      );
      record.isOpenToBegunStreams = state.isOpenToBegunStreams(side);
    }
  }

  /** Counts a request for a service. */
  recordRequest(service: string): void {
    const state = this.states.get(service);
    if (state !== undefined) state.counts.requests++;
  }

  /** Takes a trial; returns its endpoints, or undefined if there is none. */
  takeTrial(service: string): readonly EndpointRecord[] | undefined {
    const state = this.states.get(service);
    if (state?.phase !== 'trial') return undefined;
    const {bounds, countHosts} = this.parts;
    const newEndpoints = this.listNewEndpoints(state);
    if (newEndpoints.length === 0) return undefined;
    if (!state.takeTrial(bounds, countHosts())) return undefined;
    const ranked = newEndpoints.map((record) => ({
      record,
      rank: hashText(record.instanceId),
    }));
    ranked.sort((a, b) => a.rank - b.rank);
    const count = countTrialEndpoints(bounds, newEndpoints.length);
    return ranked.slice(0, count).map(({record}) => record);
  }

  /** Records how an endpoint answered a request. */
  recordAnswer(record: EndpointRecord, answer: AnswerOutcome): void {
    const state = this.states.get(record.entry.service);
    if (state === undefined) return;
    const side = state.getSide(record);
    if (side === 'other') return;
    const {instanceId} = record;
    const observed = {...answer, instanceId, isNew: side === 'new'};
    if (state.addAnswer(observed)) this.handlePhaseChange(state);
  }

  /** Lists the endpoints of the new version that can take requests. */
  listNewEndpoints(state: RolloutState): EndpointRecord[] {
    return this.listSide(state, 'new').filter((record) => record.isReady);
  }

  /** Counts the runs of this host on endpoints of the old version. */
  countOldRunning(state: RolloutState): number {
    let running = 0;
    for (const record of this.listSide(state, 'old')) {
      running += record.getOwnUse().running;
    }
    return running;
  }

  /** Applies a phase change made on this host and reports it. */
  handlePhaseChange(state: RolloutState): void {
    const {service, version} = state.order;
    const {phase, counts} = state;
    this.parts.log.writeInfo('A rollout entered another phase.', {
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
