/**
 * The configuration that a host uses: a revision and the resources as of it. It
 * advances by single changes or by a snapshot, and never goes back.
 */
import {
  getResourceKey,
  type Change,
  type KindName,
  type Resource,
  type ResourceReader,
  type Snapshot,
} from '@irisdock/resources';

/**
 * The result of applying a change or snapshot: `gap` if an earlier change is
 * missing, `old` if it is not newer than the current revision.
 */
export type ApplyResult = 'applied' | 'gap' | 'old';

/** The resources as of a revision. */
export class ConfigurationState implements ResourceReader {
  private readonly resources = new Map<string, Resource>();
  private readonly log: Change[] = [];
  private currentRevision = 0;

  /** @param maxLog The number of recent changes to keep. */
  constructor(private readonly maxLog: number) {}

  /** The current revision; 0 before the first change. */
  get revision(): number {
    return this.currentRevision;
  }

  /** The revision after which all changes are still in the log. */
  get logStartRevision(): number {
    return (this.log[0]?.revision ?? this.currentRevision + 1) - 1;
  }

  /** Applies a change if it is the next one. */
  applyChange(change: Change): ApplyResult {
    if (change.revision <= this.currentRevision) return 'old';
    if (change.revision !== this.currentRevision + 1) return 'gap';
    this.currentRevision = change.revision;
    const key = getResourceKey(change.kind, change.name);
    if (change.action === 'delete') this.resources.delete(key);
    else this.resources.set(key, createResource(change));
    this.log.push(change);
    if (this.log.length > this.maxLog) this.log.shift();
    return 'applied';
  }

  /** Replaces everything by a snapshot if it is newer. */
  applySnapshot(snapshot: Snapshot): ApplyResult {
    if (snapshot.revision <= this.currentRevision) return 'old';
    this.resources.clear();
    for (const resource of snapshot.resources) {
      this.resources.set(
        getResourceKey(resource.kind, resource.name),
        resource,
      );
    }
    this.currentRevision = snapshot.revision;
    this.log.length = 0;
    return 'applied';
  }

  /** Returns a snapshot of the current resources. */
  getSnapshot(): Snapshot {
    return {
      revision: this.currentRevision,
      resources: [...this.resources.values()],
    };
  }

  /**
   * Returns the changes after a revision; undefined if some of them are no
   * longer in the log.
   */
  getChangesAfter(revision: number): readonly Change[] | undefined {
    if (revision < this.logStartRevision) return undefined;
    return this.log.slice(Math.max(0, revision - this.logStartRevision));
  }

  get(kind: KindName, name: string): Resource | undefined {
    return this.resources.get(getResourceKey(kind, name));
  }

  list(): Iterable<Resource> {
    return this.resources.values();
  }
}

function createResource(change: Change): Resource {
  const {kind, name, toVersion: version, spec} = change;
  return {kind, name, version, spec};
}
