/** The addresses at which a caller reaches hosts, as the hosts name them. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Random} from '@irisdock/kernel';
import {
  createAddressPath,
  decodeAddresses,
  HOST_NAME,
} from '@irisdock/users-platform/fixtures';
import type {HostProcess} from './host_process.js';

const DIRECTORY_MS = 800;
/** The pause after a host that does not answer, in ms. */
const PAUSE_MS = 40;

/** Asks hosts for addresses, and keeps an answer for a while. */
export class AddressBook {
  private addresses: string[] = [];
  private askedAt = -Infinity;

  /** @param keepMs How long an answer is kept, in ms. */
  constructor(
    private readonly hosts: readonly HostProcess[],
    private readonly random: Random,
    private readonly keepMs: number,
  ) {}

  /** Chooses a host by chance among those that the system names. */
  async choose(): Promise<string | undefined> {
    const isOld = performance.now() - this.askedAt > this.keepMs;
    if (isOld || this.addresses.length === 0) await this.load();
    return this.addresses[this.random.getInt(this.addresses.length || 1)];
  }

  /** Takes out an address that failed. */
  drop(address: string): void {
    this.addresses = this.addresses.filter((one) => one !== address);
  }

  private async load(): Promise<void> {
    const host = this.hosts[this.random.getInt(this.hosts.length)];
    if (host === undefined) return;
    const path = createAddressPath(HOST_NAME, 'zone-1');
    try {
      const answer = await fetch(`http://${host.directoryAddress}${path}`, {
        signal: AbortSignal.timeout(DIRECTORY_MS),
      });
      if (!answer.ok) return;
      const {addresses} = decodeAddresses(await answer.text());
      this.addresses = [...addresses];
      this.askedAt = performance.now();
    } catch {
      // This host does not answer; the next try asks another one.
      await sleep(PAUSE_MS);
    }
  }
}
