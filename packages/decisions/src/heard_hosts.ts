/**
 * The other hosts as one host hears them. Each host sends a datagram to the
 * others a few times a second; who is silent for a while is left out of what
 * callers are told. A host that suddenly hears nobody is more likely cut off
 * itself than the last one alive, so it goes on telling what it knew.
 */

/** A heartbeat of another host. */
export interface HostHeartbeat {
  readonly incarnation: number;
  readonly sequence: number;
  readonly state: 'leaving' | 'ready' | 'starting';
}

/** When silence counts, in ms. */
export interface HeardTimes {
  /** Silence after which a host is left out of answers to callers. */
  readonly silentAfterMs: number;
  /** Silence after which a host is forgotten. */
  readonly forgetAfterMs: number;
}

interface HeardHost<H> {
  heartbeat: H;
  heardAt: number;
}

/** The other hosts. */
export class HeardHosts<H extends HostHeartbeat> {
  private readonly hosts = new Map<string, HeardHost<H>>();

  constructor(private readonly times: HeardTimes) {}

  /** Gives the last heartbeat of a host. */
  find(name: string): H | undefined {
    return this.hosts.get(name)?.heartbeat;
  }

  /** Takes a heartbeat; false when a newer one is known. */
  accept(name: string, heartbeat: H, now: number): boolean {
    const known = this.hosts.get(name);
    if (known !== undefined && !this.isNewer(heartbeat, known, now)) {
      return false;
    }
    this.hosts.set(name, {heartbeat, heardAt: now});
    return true;
  }

  /**
   * Within one life of a host the sequence says what is newer. Lives are told
   * apart by the time of day, which may have gone back before a restart; then
   * the new life is taken once the old one is silent.
   */
  private isNewer(heartbeat: H, known: HeardHost<H>, now: number): boolean {
    const {incarnation, sequence} = known.heartbeat;
    if (heartbeat.incarnation === incarnation) {
      return heartbeat.sequence > sequence;
    }
    if (heartbeat.incarnation > incarnation) return true;
    return now - known.heardAt > this.times.silentAfterMs / 2;
  }

  /** Lists the hosts heard of late. */
  listHeard(now: number): H[] {
    const heard: H[] = [];
    for (const {heartbeat, heardAt} of this.hosts.values()) {
      if (now - heardAt <= this.times.silentAfterMs) heard.push(heartbeat);
    }
    return heard;
  }

  /**
   * Lists the hosts that callers may be sent to: those heard of late that are
   * ready; when none is heard at all, those that were ready when last heard.
   */
  listServing(now: number): H[] {
    const heard = this.listHeard(now);
    const pool = heard.length > 0 ? heard : this.listKnown();
    return pool.filter((heartbeat) => heartbeat.state === 'ready');
  }

  /** Lists all hosts that are not forgotten. */
  listKnown(): H[] {
    return [...this.hosts.values()].map(({heartbeat}) => heartbeat);
  }

  /** Forgets hosts that were silent for long; gives their names. */
  dropSilent(now: number): string[] {
    const dropped: string[] = [];
    for (const [name, {heardAt}] of this.hosts) {
      if (now - heardAt <= this.times.forgetAfterMs) continue;
      this.hosts.delete(name);
      dropped.push(name);
    }
    return dropped;
  }
}
