/** Drills of a play: the store is away for a moment and back from an older copy. */
import {setTimeout as sleep} from 'node:timers/promises';
import {SeededRandom} from '@irisdock/kernel';
import type {StoreStandin} from '@irisdock/users-platform/fixtures';
import type {ConfigurationWitness} from './configuration_witness.js';
import type {Disturbances} from './disturbances.js';
import type {EndpointFleet} from './endpoint_fleet.js';

/** The copy is taken within this time, in ms. */
const TAKEN_WITHIN_MS = 7000;
/** How much older than the store the copy may be, in ms. */
const MOST_AGE_MS = 3000;
const MOST_AWAY_MS = 800;
/** Operators and endpoints have written again after so long, in ms. */
const MOST_WRITE_MS = 700;
const MOST_DRILLS = 2;
const UNAVAILABLE_STATUS = 503;

/** What drills work with. */
export interface StoreDrillsParts {
  readonly store: StoreStandin;
  readonly fleet: EndpointFleet;
  readonly configuration: ConfigurationWitness;
  readonly disturbances: Disturbances;
}

/** Plays drills one after another. */
export class StoreDrills {
  private readonly random: SeededRandom;

  constructor(
    seed: number,
    private readonly parts: StoreDrillsParts,
  ) {
    // Not from the play's own numbers, which seeds stand for.
    this.random = new SeededRandom(seed + 2 ** 21);
  }

  async run(): Promise<void> {
    const drills = this.random.getInt(MOST_DRILLS + 1);
    for (let count = 0; count < drills; count++) await this.runDrill();
  }

  private async runDrill(): Promise<void> {
    const {store, fleet, configuration, disturbances} = this.parts;
    const {random} = this;
    await sleep(random.getInt(TAKEN_WITHIN_MS));
    const snapshot = store.takeSnapshot();
    await sleep(random.getInt(MOST_AGE_MS));
    const drill = disturbances.start('store', performance.now());
    store.faults.status = UNAVAILABLE_STATUS;
    await sleep(random.getInt(MOST_AWAY_MS));
    store.loadSnapshot(snapshot);
    Reflect.deleteProperty(store.faults, 'status');
    await sleep(random.getInt(MOST_WRITE_MS));
    configuration.commitAgain();
    fleet.putEntriesAgain();
    drill.until = performance.now();
  }
}
