/**
 * Schedules the probes of a SWIM-like failure detection. In each round a host
 * probes one or a few others, all of them in turn in a random order, so that
 * each host is probed by some other about once per round, whatever their
 * number.
 *
 * A host that didn't answer by the next round is probed again, also indirectly
 * through other hosts, as a datagram or a network path may have failed. It is
 * reported as unresponsive if it still hasn't answered one round later.
 *
 * Hosts of other regions are probed less often, as bytes between regions are
 * expensive and those hosts are watched by the hosts near them. Once one of
 * them is silent, all are probed alike: the links between regions may be gone.
 */
import {getSample, getShuffled, type Random} from '@irisdock/kernel';

/** The actions of one round. */
export interface ProbeRound {
  /** Hosts to probe directly. */
  readonly probed: readonly string[];
  /** Those of them to probe through other hosts as well. */
  readonly indirect: readonly string[];
  /** Hosts that didn't answer in time. */
  readonly unresponsive: readonly string[];
}

/** Rounds without an answer until a host is also probed indirectly. */
const INDIRECT_AFTER = 1;
/** Rounds without an answer until a host is unresponsive. */
const SILENT_AFTER = 2;
/** In a turn, the number of near hosts for each host of another region. */
const NEAR_PER_FAR = 8;
/** Hosts of other regions that are probed in a turn, at least. */
const MIN_FAR_PER_TURN = 2;

/** The probe schedule of one host. */
export class ProbeSchedule {
  private turn: string[] = [];
  /** Rounds since the first probe, for each host that hasn't answered. */
  private readonly waiting = new Map<string, number>();
  /** Whether a host of another region did not answer in the last round. */
  private isFarSilent = false;

  /** @param isNear Whether a host belongs to the region of this one. */
  constructor(
    private readonly random: Random,
    private readonly isNear: (name: string) => boolean = () => true,
  ) {}

  /**
   * Plans a round.
   *
   * @param alive The other hosts that are considered alive.
   * @param isTrusted Whether this host would have received answers. If it was
   *     stalled itself or hears nobody, a missing answer says nothing about the
   *     other host.
   * @param count How many hosts to probe for the first time.
   */
  planRound(
    alive: ReadonlyMap<string, unknown>,
    isTrusted: boolean,
    count: number,
  ): ProbeRound {
    // Pending probes are discarded; their hosts are probed anew in turn.
    if (!isTrusted) this.waiting.clear();
    const probed: string[] = [];
    const indirect: string[] = [];
    const unresponsive: string[] = [];
    for (const [name, rounds] of this.waiting) {
      const passed = rounds + 1;
      this.waiting.set(name, passed);
      if (!alive.has(name) || passed >= SILENT_AFTER) this.waiting.delete(name);
      if (!alive.has(name)) continue;
      if (passed >= SILENT_AFTER) {
        unresponsive.push(name);
        continue;
      }
      probed.push(name);
      if (passed >= INDIRECT_AFTER) indirect.push(name);
    }
    const silent = [...indirect, ...unresponsive];
    this.updateFarSilence(silent.some((name) => !this.isNear(name)));
    for (let added = 0; added < count; added++) {
      const next = this.takeNext(alive);
      if (next === undefined) break;
      this.waiting.set(next, 0);
      probed.push(next);
    }
    return {probed, indirect, unresponsive};
  }

  /** Records that a host answered or sent any other message. */
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
      this.turn = this.createTurn([...alive.keys()]);
    }
    return undefined;
  }

  /** A turn that was made for the other case is not continued. */
  private updateFarSilence(isFarSilent: boolean): void {
    if (isFarSilent === this.isFarSilent) return;
    this.isFarSilent = isFarSilent;
    this.turn = [];
  }

  private createTurn(names: readonly string[]): string[] {
    const {random, isNear} = this;
    const far = names.filter((name) => !isNear(name));
    if (far.length === 0 || this.isFarSilent) return getShuffled(names, random);
    const near = names.filter(isNear);
    const farCount = Math.ceil(near.length / NEAR_PER_FAR);
    const count = Math.max(MIN_FAR_PER_TURN, farCount);
    return getShuffled([...near, ...getSample(far, count, random)], random);
  }
}
