/**
 * Partitions hosts of a play from all endpoints, once beside the other faults
 * and once in calm. In calm their callers have to be served nearly as often as
 * those of the other hosts.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {getSample, SeededRandom} from '@irisdock/kernel';
import type {PartitionMode} from '@irisdock/users-platform/fixtures';
import type {Disturbances} from './disturbances.js';
import type {HostProcess} from './host_process.js';

const MODES: readonly PartitionMode[] = ['reset', 'silent', 'half-open'];
/** Partitions begin within this time and last so long, in ms. */
const BEGUN_WITHIN_MS = 3000;
const LASTING_MS = 5000;
/** From so long after its begin callers have to be served, in ms. */
const CONTACT_MS = 3000;
/** What may fail whatever the number of attempts, and one in so many more. */
const ALLOWED_FAILURES = 10;
const ALLOWED_ONE_IN = 50;
/** The least share served, in that of the other hosts. */
const MIN_SERVED_SHARE = 2 / 3;

/** One attempt of a caller that has ended. */
export interface EndedAttempt {
  readonly host: string;
  readonly startedAt: number;
  readonly isServed: boolean;
  /** The same for all attempts of one request. */
  readonly request: string;
  readonly isStream: boolean;
  /** The software version that began the stream that it resumes, if any. */
  readonly version: string | undefined;
}

interface Partition {
  readonly hosts: ReadonlySet<string>;
  readonly mode: PartitionMode;
  readonly from: number;
  readonly until: number;
}

/** Partitions hosts. */
export class PartitionPlayer {
  private readonly random: SeededRandom;
  private calm: Partition | undefined;

  constructor(
    seed: number,
    private readonly hosts: readonly HostProcess[],
    private readonly disturbances: Disturbances,
  ) {
    // Not from the play's own numbers, which seeds stand for.
    this.random = new SeededRandom(seed + 2 ** 23);
  }

  /** Partitions some hosts, at times all, beside the other faults. */
  async run(): Promise<void> {
    const {random, hosts} = this;
    const count = 1 + random.getInt(hosts.length);
    await sleep(random.getInt(BEGUN_WITHIN_MS));
    await this.runPartition(count);
  }

  /** Partitions some hosts, but not all, while nothing else happens. */
  async runInCalm(): Promise<void> {
    const {random, hosts} = this;
    if (hosts.length < 2) return;
    const count = 1 + random.getInt(hosts.length - 1);
    this.calm = await this.runPartition(count);
  }

  private async runPartition(count: number): Promise<Partition> {
    const {random, hosts} = this;
    const chosen = getSample(hosts, count, random);
    const mode = MODES[random.getInt(MODES.length)] ?? 'reset';
    const from = performance.now();
    const notes = chosen.map(({name: host}) =>
      this.disturbances.start('endpoint paths', from, {host}),
    );
    for (const host of chosen) host.setPartition(mode, this.listOtherPorts());
    await sleep(LASTING_MS);
    for (const host of chosen) host.setPartition(undefined, []);
    const until = performance.now();
    for (const note of notes) note.until = until;
    const names = new Set(chosen.map(({name}) => name));
    return {hosts: names, mode, from, until};
  }

  /** Lists what was broken; attempts near other disturbances don't count. */
  listFaults(ended: readonly EndedAttempt[]): string[] {
    const {calm} = this;
    if (calm === undefined) return [];
    const counted = ended.filter((one) => this.isInTouch(one, calm));
    const cut = counted.filter(({host}) => calm.hosts.has(host));
    const others = counted.filter(({host}) => !calm.hosts.has(host));
    const failed = cut.length - countServed(cut);
    const allowed = ALLOWED_FAILURES + counted.length / ALLOWED_ONE_IN;
    const isServedLess =
      countServed(cut) * others.length <
      MIN_SERVED_SHARE * countServed(others) * cut.length;
    if (failed <= allowed || !isServedLess) return [];
    return [
      `hosts without endpoints (${calm.mode}) served ${formatShare(cut)}, the others ${formatShare(others)}`,
    ];
  }

  private isInTouch(
    {host, startedAt}: EndedAttempt,
    {from, until}: Partition,
  ): boolean {
    if (startedAt < from + CONTACT_MS || startedAt > until) return false;
    return this.disturbances
      .listBetween(host, startedAt - CONTACT_MS, startedAt)
      .every(({part}) => part === 'endpoint paths');
  }

  private listOtherPorts(): number[] {
    return this.hosts.flatMap((host) => host.listOwnPorts());
  }
}

function countServed(attempts: readonly EndedAttempt[]): number {
  return attempts.filter(({isServed}) => isServed).length;
}

function formatShare(attempts: readonly EndedAttempt[]): string {
  return `${countServed(attempts)} of ${attempts.length}`;
}
