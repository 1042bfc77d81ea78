/**
 * Kills all hosts at once while two software versions serve streams, or while
 * the endpoints of one of them are replaced by the other: their entries are
 * deleted just before the loss, during it or after it. Hosts that start again
 * remember no stream. Nothing else happens meanwhile.
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
/** How long the hosts are down, in ms. */
const DOWN_MS = 400;
/**
 * The hosts are lost so long after the version's endpoints began to leave, in
 * ms, or as soon as these have ended.
 */
const LEAVES_BEFORE_MS = 300;
/** Streams that are sent within this time after a loss count, in ms. */
const COUNTED_MS = 3500;
/** How long the version's endpoints serve once they leave, in ms. */
const SERVES_MS = {
  'one version drains': 8000,
  'one version is gone': 0,
  'one version leaves': 600,
} as const;
/** By the seed's remainder; no version is gone after it with even seeds. */
const KINDS: readonly LossKind[] = [
  'both versions serve',
  'one version leaves',
  'one version drains',
  'one version is gone',
  'both versions serve',
  'one version leaves',
];

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
    this.kind = KINDS[seed % KINDS.length];
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
    const isReplaced = kind !== 'both versions serve';
    const places = isReplaced ? this.listPlaces(old) : [];
    const servesMs = isReplaced ? SERVES_MS[kind] : 0;
    const released = fleet.release(places, other, servesMs);
    await Promise.race([released, sleep(LEAVES_BEFORE_MS)]);
    for (const {server} of engines) server.cachedPromptTokens.clear();
    await this.killHosts(kind);
    await Promise.all([released, sleep(COUNTED_MS)]);
    await fleet.release(places, old, SERVES_MS['one version leaves']);
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
