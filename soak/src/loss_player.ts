/**
 * Kills all hosts at once while two software versions serve streams, or just
 * after the endpoints of one of them were replaced by the other. Hosts that
 * start again remember no stream. Nothing else happens meanwhile.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {SOAK_SERVICES} from '@irisdock/users-platform/fixtures';
import type {Disturbances} from './disturbances.js';
import type {EndpointFleet, EndpointInstance} from './endpoint_fleet.js';
import type {HostProcess} from './host_process.js';
import {
  createLossReport,
  findLossFault,
  type Loss,
  type LossKind,
  type LossReport,
} from './loss_witness.js';
import type {EndedAttempt} from './partition_player.js';

/**
 * How long attempts that began in the partition before may last, in ms; the
 * loss would cut them, and they would count against the partition.
 */
const SETTLE_MS = 4000;
/** How long the hosts are down, in ms; no entry of the old version is left. */
const DOWN_MS = 400;
/** The version's endpoints leave so long before the hosts are lost, in ms. */
const LEAVES_BEFORE_MS = 300;
/** How long those endpoints serve once they leave, in ms. */
const LEAVES_FOR_MS = 600;
/** Streams that are sent within this time after a loss count, in ms. */
const COUNTED_MS = 3500;

/** What a loss is played on. */
export interface LossParts {
  readonly hosts: readonly HostProcess[];
  readonly fleet: EndpointFleet;
  readonly disturbances: Disturbances;
}

/** Loses all hosts of a play. */
export class LossPlayer {
  private readonly kind: LossKind | undefined;
  private loss: Loss | undefined;

  constructor(
    seed: number,
    isScaled: boolean,
    private readonly parts: LossParts,
  ) {
    // A scaled service would order endpoints anew.
    if (isScaled) return;
    this.kind = seed % 2 === 0 ? 'both versions serve' : 'one version leaves';
  }

  /** Plays the loss, if the play has one; resolves when streams have counted. */
  async run(): Promise<void> {
    const {kind} = this;
    if (kind === undefined) return;
    await sleep(SETTLE_MS);
    const {fleet} = this.parts;
    const engines = fleet.list(SOAK_SERVICES.streams);
    const [old, other] = listVersions(engines);
    if (old === undefined || other === undefined) return;
    const isLeaving = kind === 'one version leaves';
    const places = isLeaving ? this.listPlaces(old) : [];
    const released = fleet.release(places, other, LEAVES_FOR_MS);
    if (isLeaving) await sleep(LEAVES_BEFORE_MS);
    for (const {server} of engines) server.cachedPromptTokens.clear();
    await this.killHosts(kind);
    await Promise.all([released, sleep(COUNTED_MS)]);
    await fleet.release(places, old, LEAVES_FOR_MS);
  }

  /** Creates the report; undefined if no loss was played. */
  createReport(ended: readonly EndedAttempt[]): LossReport | undefined {
    return this.loss === undefined
      ? undefined
      : createLossReport(this.loss, ended);
  }

  /** Lists what was broken. */
  listFaults(ended: readonly EndedAttempt[]): string[] {
    const report = this.createReport(ended);
    const fault = report === undefined ? undefined : findLossFault(report);
    return fault === undefined ? [] : [fault];
  }

  private listPlaces(version: string): number[] {
    const {fleet} = this.parts;
    return fleet.listPlaces().filter((place) => {
      const engine = fleet.find(place);
      const isStreams = engine?.service === SOAK_SERVICES.streams;
      return isStreams && engine.version === version;
    });
  }

  private async killHosts(kind: LossKind): Promise<void> {
    const {hosts, fleet, disturbances} = this.parts;
    const from = performance.now();
    const serving = new Set(listVersions(fleet.list(SOAK_SERVICES.streams)));
    const disturbance = disturbances.start('hosts', from);
    await Promise.all(hosts.map((host) => host.kill(DOWN_MS)));
    const until = performance.now();
    disturbance.until = until;
    this.loss = {kind, from, until: until + COUNTED_MS, serving};
  }
}

function listVersions(engines: readonly EndpointInstance[]): string[] {
  return [...new Set(engines.map(({version}) => version))];
}
