/** Which endpoints of a play name a limit, how high and when, drawn from its seed. */
import {setTimeout as sleep} from 'node:timers/promises';
import {SeededRandom} from '@irisdock/kernel';
import type {EndpointFleet, EndpointInstance} from './endpoint_fleet.js';
import type {LimitWitness} from './limit_witness.js';

/** Limits are named within this time, in ms. */
const NAMED_WITHIN_MS = 8000;
/** One play in so many has limits at all places of a service. */
const ALL_PLACES_ONE_IN = 3;
const USUAL_PLACES = 2;
/** The lowest limit and how far others are above it, in requests a second. */
const LEAST_PER_SECOND = 1;
const SPREAD_PER_SECOND = 4;
/** Limits are drawn in steps of a tenth. */
const STEPS = 10;

/** Names limits. */
export class LimitPlayer {
  private readonly random: SeededRandom;
  private readonly named = new Set<EndpointInstance>();
  private isOver = false;

  constructor(
    seed: number,
    private readonly fleet: EndpointFleet,
    private readonly witness: LimitWitness,
  ) {
    // Not from the play's own numbers, which seeds stand for.
    this.random = new SeededRandom(seed + 2 ** 20);
  }

  /** Lets endpoints of a service, at places from one on, name limits. */
  async run(firstPlace: number, places: number): Promise<void> {
    const isAll = this.random.getInt(ALL_PLACES_ONE_IN) === 0;
    const count = isAll ? places : USUAL_PLACES;
    const steps: Promise<void>[] = [];
    for (let place = firstPlace; place < firstPlace + count; place++) {
      const drawn = this.random.getInt(SPREAD_PER_SECOND * STEPS);
      const perSecond = LEAST_PER_SECOND + drawn / STEPS;
      const atMs = this.random.getInt(NAMED_WITHIN_MS);
      steps.push(this.startAt(place, perSecond, atMs));
    }
    await Promise.all(steps);
  }

  /** No endpoint names a limit any more. */
  stop(): void {
    this.isOver = true;
    for (const instance of this.named) {
      instance.limitLines = [];
      this.witness.recordEnded(instance.id, performance.now());
    }
  }

  private async startAt(
    place: number,
    perSecond: number,
    atMs: number,
  ): Promise<void> {
    await sleep(atMs);
    const instance = this.fleet.find(place);
    if (instance === undefined || this.isOver) return;
    instance.limitLines = [`X-Irisdock-Server-Limit: ${perSecond}`];
    this.named.add(instance);
    this.witness.recordNamed(instance.id, perSecond, performance.now());
  }
}
