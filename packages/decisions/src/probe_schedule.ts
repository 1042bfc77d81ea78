/**
 * Which hosts are asked next whether they answer, and what follows from
 * silence. Each beat one or a few are asked, all in turn in a random order, so
 * that a host is asked by some other one in each beat or so, however many hosts
 * there are.
 *
 * A host that did not answer by the next beat is asked again, this time
 * through other hosts too, as a datagram or a single way may be lost; it is
 * suspected when no answer came by the beat after that.
 */
import {getShuffled, type Random} from '@irisdock/kernel';

/** What is to be done in a beat. */
export interface ProbeRound {
  /** Hosts that are asked. */
  readonly probed: readonly string[];
  /** Hosts that are asked through others as well. */
  readonly indirect: readonly string[];
  /** Hosts that did not answer. */
  readonly unresponsive: readonly string[];
}

/** Beats without an answer after which a host is asked through others. */
const RELAY_AFTER = 1;
/** Beats without an answer after which a host is suspected. */
const SILENT_AFTER = 2;

/** The schedule. */
export class ProbeSchedule {
  private turn: string[] = [];
  /** Beats that hosts have let pass since they were first asked. */
  private readonly waiting = new Map<string, number>();

  constructor(private readonly random: Random) {}

  /**
   * Plans a beat.
   *
   * @param alive The other hosts that are believed to be alive.
   * @param isTrusted Whether this host would have got answers: when it was held
   *     up itself or hears nobody, silence says nothing of others.
   * @param count How many hosts are asked for the first time.
   */
  planRound(
    alive: ReadonlyMap<string, unknown>,
    isTrusted: boolean,
    count: number,
  ): ProbeRound {
    // Whoever was asked before is asked anew, from the start.
    if (!isTrusted) this.waiting.clear();
    const probed: string[] = [];
    const relayed: string[] = [];
    const silent: string[] = [];
    for (const [name, beats] of this.waiting) {
      const passed = beats + 1;
      this.waiting.set(name, passed);
      if (!alive.has(name) || passed >= SILENT_AFTER) this.waiting.delete(name);
      if (!alive.has(name)) continue;
      if (passed >= SILENT_AFTER) {
        silent.push(name);
        continue;
      }
      probed.push(name);
      if (passed >= RELAY_AFTER) relayed.push(name);
    }
    for (let asked = 0; asked < count; asked++) {
      const next = this.takeNext(alive);
      if (next === undefined) break;
      this.waiting.set(next, 0);
      probed.push(next);
    }
    return {probed, indirect: relayed, unresponsive: silent};
  }

  /** Takes it that a host answered, or was heard otherwise. */
  markHeard(name: string): void {
    this.waiting.delete(name);
  }

  private takeNext(alive: ReadonlyMap<string, unknown>): string | undefined {
    for (let rounds = 0; rounds < 2; rounds++) {
      for (;;) {
        const name = this.turn.pop();
        if (name === undefined) break;
        if (alive.has(name) && !this.waiting.has(name)) return name;
      }
      this.turn = getShuffled([...alive.keys()], this.random);
    }
    return undefined;
  }
}
