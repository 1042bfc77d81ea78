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
/** The first and the longest pause after a query that named no host, in ms. */
const PAUSE_MS = 40;
const MAX_PAUSE_MS = 640;

/** How a query for addresses ended. */
type QueryOutcome = 'failed' | 'named' | 'none';

/** Asks hosts for addresses, and keeps an answer for a while. */
export class AddressBook {
  private addresses: string[] = [];
  private askedAt = -Infinity;
  private pauseMs = PAUSE_MS;

  /**
   * @param keepMs How long an answer is kept, in ms.
   * @param backsOff Whether pauses grow while no host is named. Without it, only
   *     a query that failed is followed by a pause, always of the same length.
   */
  constructor(
    private readonly hosts: readonly Pick<HostProcess, 'directoryAddress'>[],
    private readonly random: Random,
    private readonly keepMs: number,
    private readonly backsOff = true,
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
    const outcome = await this.sendQuery(host.directoryAddress);
    if (outcome === 'named') {
      this.pauseMs = PAUSE_MS;
      return;
    }
    // The next try may ask another host.
    if (this.backsOff || outcome === 'failed') await sleep(this.pauseMs);
    if (!this.backsOff) return;
    this.pauseMs = Math.min(MAX_PAUSE_MS, this.pauseMs * 2);
  }

  private async sendQuery(directoryAddress: string): Promise<QueryOutcome> {
    const path = createAddressPath(HOST_NAME, 'zone-1');
    try {
      const answer = await fetch(`http://${directoryAddress}${path}`, {
        signal: AbortSignal.timeout(DIRECTORY_MS),
      });
      if (!answer.ok) return 'none';
      const {addresses} = decodeAddresses(await answer.text());
      this.addresses = [...addresses];
      this.askedAt = performance.now();
      return addresses.length > 0 ? 'named' : 'none';
    } catch {
      return 'failed';
    }
  }
}
