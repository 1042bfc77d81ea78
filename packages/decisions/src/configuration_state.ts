/**
 * The configuration that a host has in force: a revision and the resources at
 * it. It moves forward by single changes or by a snapshot, never back.
 */
import {
  getResourceKey,
  type Change,
  type KindName,
  type Resource,
  type ResourceReader,
  type Snapshot,
} from '@irisdock/resources';

/** What became of a change or snapshot that was offered. */
export type ApplyResult = 'applied' | 'gap' | 'old';

/** Resources at a revision. */
export class ConfigurationState implements ResourceReader {
  private readonly resources = new Map<string, Resource>();
  private readonly log: Change[] = [];
  private current = 0;

  constructor(private readonly maxLog: number) {}

  /** The revision in force; 0 before the first. */
  get revision(): number {
    return this.current;
  }

  /** The revision after which all changes are still known. */
  get logStartRevision(): number {
    return (this.log[0]?.revision ?? this.current + 1) - 1;
  }

  /** Applies the change when it is the next one. */
  applyChange(change: Change): ApplyResult {
    if (change.revision <= this.current) return 'old';
    if (change.revision !== this.current + 1) return 'gap';
    this.current = change.revision;
    const key = getResourceKey(change.kind, change.name);
    if (change.action === 'delete') this.resources.delete(key);
    else this.resources.set(key, createResource(change));
    this.log.push(change);
    if (this.log.length > this.maxLog) this.log.shift();
    return 'applied';
  }

  /** Takes a snapshot in place of everything when it is newer. */
  applySnapshot(snapshot: Snapshot): ApplyResult {
    if (snapshot.revision <= this.current) return 'old';
    this.resources.clear();
    for (const resource of snapshot.resources) {
      this.resources.set(
        getResourceKey(resource.kind, resource.name),
        resource,
      );
    }
    this.current = snapshot.revision;
    this.log.length = 0;
    return 'applied';
  }

  /** Gives a snapshot of what is in force. */
  getSnapshot(): Snapshot {
    return {revision: this.current, resources: [...this.resources.values()]};
  }

  /** Gives the changes after a revision; undefined when some are forgotten. */
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
