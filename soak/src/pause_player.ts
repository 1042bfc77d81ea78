/** Which endpoints of a play reject requests and ask for a pause, and when. */
import {setTimeout as sleep} from 'node:timers/promises';
import {SeededRandom} from '@irisdock/kernel';
import type {EndpointFleet} from './endpoint_fleet.js';

/** Rejections begin within this time and last so long, in ms. */
const BEGUN_WITHIN_MS = 6000;
const LASTING_MS = 3000;
/** The pause that is asked for, in s. */
const PAUSE_S = 2;

/** The pause that is asked for, in ms. */
export const PAUSE_MS = PAUSE_S * 1000;

/** Lets endpoints reject requests. */
export class PausePlayer {
  private readonly random: SeededRandom;

  constructor(
    seed: number,
    private readonly fleet: EndpointFleet,
  ) {
    // Not from the play's own numbers, which seeds stand for.
    this.random = new SeededRandom(seed + 2 ** 22);
  }

  /** Lets the endpoint at one of the places from one on reject requests. */
  async run(firstPlace: number, places: number): Promise<void> {
    const place = firstPlace + this.random.getInt(places);
    await sleep(this.random.getInt(BEGUN_WITHIN_MS));
    const instance = this.fleet.find(place);
    if (instance === undefined) return;
    instance.rejectionLines = [`Retry-After: ${PAUSE_S}`];
    await sleep(LASTING_MS);
    instance.rejectionLines = undefined;
  }
}
