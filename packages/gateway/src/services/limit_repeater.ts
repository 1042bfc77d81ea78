/**
 * Repeats the limits in force, so that every host keeps them: also one that
 * started after they were announced, or that was cut off when they were. The
 * issuer of a limit repeats it to all hosts. A host that no longer receives it
 * from there reports it to the issuer, which may have restarted meanwhile.
 */
import type {Clock} from '@irisdock/kernel';
import type {KnownLimits} from './known_limits.js';
import type {LimitPublisher} from './limit_publisher.js';

/**
 * The time between two repeats by the issuer, in ms. At 350 hosts a limit then
 * costs 350 datagrams of 37 bytes per second. Hosts must know a limit
 * within 3 s, which leaves time for a lost datagram.
 */
const REPEAT_INTERVAL_MS = 1000;
/**
 * After this time without a report of the issuer, a host reports the limit to
 * it, in ms. It is longer than the interval, so that nothing is reported to
 * issuers which know the limit.
 */
const ISSUER_SILENCE_MS = 1500;

/** Dependencies of the repeater. */
export interface LimitRepeaterParts {
  readonly known: Pick<KnownLimits, 'count' | 'findRate' | 'listLimits'>;
  readonly clock: Pick<Clock, 'getNow'>;
  /** Whether this host is the issuer that informs all other hosts. */
  readonly isIssuer: (instanceId: string) => boolean;
  readonly publisher: Pick<LimitPublisher, 'sendAll'>;
}

/** Repeats the limits in force. */
export class LimitRepeater {
  private repeatedAt = -Infinity;
  /**
   * When the issuer last reported a limit, or it was reported to the issuer, by
   * instance id. Only limits in force have an entry, so `KnownLimits` bounds
   * their number.
   */
  private readonly reportedAt = new Map<string, number>();

  constructor(private readonly parts: LimitRepeaterParts) {}

  /** Does the work of one heartbeat. */
  startHeartbeat(): void {
    const {known, clock, isIssuer, publisher} = this.parts;
    this.dropEnded();
    if (known.count === 0) return;
    const now = clock.getNow();
    const mustRepeat = now - this.repeatedAt >= REPEAT_INTERVAL_MS;
    if (mustRepeat) this.repeatedAt = now;
    const due: string[] = [];
    for (const {instanceId} of known.listLimits()) {
      const isDue = isIssuer(instanceId)
        ? mustRepeat
        : this.isIssuerSilent(instanceId, now);
      if (isDue) due.push(instanceId);
    }
    if (due.length > 0) publisher.sendAll(due);
  }

  /** Records that the issuer of a limit has reported it to this host. */
  recordIssuerReport(instanceId: string): void {
    const {known, clock} = this.parts;
    if (known.findRate(instanceId) === undefined) return;
    this.reportedAt.set(instanceId, clock.getNow());
  }

  /**
   * Removes limits that are no longer in force. It reads all entries only if
   * there are more of them than limits.
   */
  private dropEnded(): void {
    const {known} = this.parts;
    if (this.reportedAt.size <= known.count) return;
    for (const instanceId of this.reportedAt.keys()) {
      if (known.findRate(instanceId) === undefined) {
        this.reportedAt.delete(instanceId);
      }
    }
  }

  /** Whether to report a limit to the issuer now; counts it as reported. */
  private isIssuerSilent(instanceId: string, now: number): boolean {
    const reportedAt = this.reportedAt.get(instanceId);
    if (reportedAt !== undefined && now - reportedAt < ISSUER_SILENCE_MS) {
      return false;
    }
    this.reportedAt.set(instanceId, now);
    // A limit that this host has just learned: the issuer has time to report.
    return reportedAt !== undefined;
  }
}
