/**
 * Witnesses a configuration through a hunt: changes one resource all the
 * time, through any host, and sees that no host ever goes back and that what
 * was accepted last is in force on all in the end.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {CHANGE_SCHEMA} from '@irisdock/resources';
import {
  getJson,
  sendHttp,
  waitUntil,
  type DaemonNode,
  type Deployment,
} from '@irisdock/testkit';

const ROUND_MS = 100;
const PATIENCE_MS = 3000;
const OK = 200;
const TEAM = 'witnessed';

interface SeenTeam {
  readonly version?: number;
}

/** Changes and watches one team. */
export class ConfigurationWitness {
  /** Changes that were accepted. */
  accepted = 0;
  private lastVersion = 0;
  private isStopped = false;
  private readonly seen = new Map<DaemonNode, number>();
  private readonly faults: string[] = [];

  constructor(private readonly deployment: Deployment) {}

  /** Changes and watches until it is stopped. */
  async run(): Promise<void> {
    for (let round = 1; !this.isStopped; round++) {
      const live = this.deployment.liveDaemons;
      const host = live[round % live.length];
      const changes =
        host === undefined ? sleep(0) : this.putChange(host, round);
      const limit = sleep(PATIENCE_MS, undefined, {ref: false});
      const looks = live.map((daemon) => this.readVersion(daemon));
      await Promise.race([Promise.all([changes, ...looks]), limit]);
      await sleep(ROUND_MS);
    }
  }

  /** Begins no further round. */
  stop(): void {
    this.isStopped = true;
  }

  /** Waits for what was accepted to be in force; gives what was broken. */
  async finish(): Promise<readonly string[]> {
    try {
      await waitUntil('the last accepted change is in force', async () => {
        const versions = await Promise.all(
          this.deployment.liveDaemons.map((daemon) => this.readVersion(daemon)),
        );
        return versions.every((version) => version >= this.lastVersion);
      });
    } catch {
      const versions = [...this.seen.values()].join(' ');
      const wanted = `version ${this.lastVersion}`;
      this.faults.push(`${wanted} was accepted; in force are ${versions}`);
    }
    return this.faults;
  }

  private async putChange(host: DaemonNode, weight: number): Promise<void> {
    const body = JSON.stringify({spec: {weight}});
    // A host that died meanwhile: not known to be accepted.
    const answer = await sendHttp(getUrl(host), {method: 'PUT', body}).catch(
      () => undefined,
    );
    if (answer?.status !== OK) return;
    this.accepted++;
    const {toVersion} = CHANGE_SCHEMA.parse(JSON.parse(answer.text));
    this.lastVersion = Math.max(this.lastVersion, toVersion);
  }

  /** Reads the version in force on a host; what it was when it is away. */
  private async readVersion(daemon: DaemonNode): Promise<number> {
    const before = this.seen.get(daemon) ?? 0;
    try {
      const {version = 0} = await getJson<SeenTeam>(getUrl(daemon));
      if (version < before) {
        this.faults.push(`a host went back from ${before} to ${version}`);
      }
      // Reads overlap when a host was frozen: an older one may end later.
      const newest = this.seen.get(daemon) ?? 0;
      this.seen.set(daemon, Math.max(newest, version));
      return version;
    } catch {
      return before;
    }
  }
}

function getUrl(host: DaemonNode): string {
  return `http://${host.places.operator}/v1/resources/team/${TEAM}`;
}
