/**
 * The engines that one stream does not use for its next attempt. An engine
 * whose attempt was lost may be used once more if it answers and no other
 * engine is left: it may have been silent for a while, or only its connection
 * broke.
 */
import type {EndpointRecord} from './endpoint_record.js';

/** Keeps the engines that one stream does not use. */
export class EngineExclusions {
  /** Engines that refused the stream, failed it, or lost it again. */
  private readonly failed = new Set<string>();
  /** Engines on which an attempt was lost. */
  private readonly lost = new Set<string>();
  /** Engines that became eligible again after they had lost an attempt. */
  private readonly returned = new Set<string>();
  /** Engines whose limits held this stream back for now. */
  private readonly held = new Set<string>();
  /** Engines that refused the begun stream for now. */
  private readonly refused = new Set<string>();
  /** Engines on which another suspected stream runs. */
  private readonly taken = new Set<string>();
  /** Engines that are silent while the current attempt is. */
  private readonly silent = new Map<string, EndpointRecord>();
  private hasAttempts = false;

  /** Whether no engine has run, failed or held back the stream. */
  get isFirstAttempt(): boolean {
    if (this.silent.size > 0) return false;
    return !this.hasAttempts && this.held.size === 0;
  }

  /** Whether engines are left out because of other suspected streams. */
  get hasTaken(): boolean {
    return this.taken.size > 0;
  }

  /** Records that an attempt on an engine was lost. */
  recordLost({instanceId}: EndpointRecord): void {
    this.hasAttempts = true;
    const isAgain = this.returned.has(instanceId);
    (isAgain ? this.failed : this.lost).add(instanceId);
  }

  /** Records that a silent engine was left; it may be sound. */
  recordLeft({instanceId}: EndpointRecord): void {
    this.hasAttempts = true;
    this.returned.delete(instanceId);
    this.lost.add(instanceId);
  }

  /** Records that an engine refused the stream or failed it. */
  recordFailed({instanceId}: EndpointRecord): void {
    this.hasAttempts = true;
    this.failed.add(instanceId);
  }

  /** Records that an engine has no room for the stream now. */
  recordHeld({instanceId}: EndpointRecord): void {
    this.held.add(instanceId);
  }

  /** Records that an engine refused the begun stream; it may take it soon. */
  recordRefused({instanceId}: EndpointRecord): void {
    this.hasAttempts = true;
    this.refused.add(instanceId);
  }

  /** Records that another suspected stream runs on an engine. */
  recordTaken({instanceId}: EndpointRecord): void {
    this.taken.add(instanceId);
  }

  /** Records that an engine is silent and cannot take the stream over. */
  recordSilent(engine: EndpointRecord): void {
    this.silent.set(engine.instanceId, engine);
  }

  /** Makes engines eligible again that were silent. */
  dropSilent(): void {
    this.silent.clear();
  }

  /**
   * Lists the failure domains of silent engines. One whose end was announced is
   * left for that, which tells nothing of its domain.
   */
  listSilentDomains(): string[] {
    const engines = [...this.silent.values()].filter(
      ({endsAt}) => endsAt === undefined,
    );
    return engines.map(({failureDomain}) => failureDomain);
  }

  /** Makes engines eligible again that had no room. */
  dropHeld(): void {
    this.held.clear();
    this.refused.clear();
  }

  /** Makes engines eligible again on which other suspected streams ran. */
  dropTaken(): void {
    this.taken.clear();
  }

  /** Makes an engine eligible again on which an attempt was lost. */
  dropLost({instanceId}: EndpointRecord): void {
    this.lost.delete(instanceId);
    this.returned.add(instanceId);
  }

  /**
   * Whether an engine that lost an attempt may be used again. An engine whose
   * limit holds the stream back is waited for instead.
   */
  isReturnable({instanceId}: EndpointRecord): boolean {
    if (this.held.size > 0 || this.failed.has(instanceId)) return false;
    return this.lost.has(instanceId);
  }

  /** Whether the next attempt does not use an engine. */
  has({instanceId}: EndpointRecord): boolean {
    if (this.silent.has(instanceId)) return true;
    return this.sets.some((set) => set.has(instanceId));
  }

  /** Lists the ids of all engines that are left out. */
  listIds(): ReadonlySet<string> {
    const ids = new Set<string>(this.silent.keys());
    for (const set of this.sets) {
      for (const id of set) ids.add(id);
    }
    return ids;
  }

  private get sets(): readonly ReadonlySet<string>[] {
    return [this.failed, this.lost, this.held, this.refused, this.taken];
  }
}
