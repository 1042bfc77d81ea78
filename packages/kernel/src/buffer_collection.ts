/**
 * Frees the buffers of what clients send in time. They lie outside of V8's heap,
 * and V8 collects the unused ones only as its heap grows, to which they add
 * little, or once some 60 MB of them have been allocated, which may be more
 * than a small host has left.
 */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** How much is allocated between two collections, in bytes. */
const COLLECT_BYTES = 8_388_608;

/** V8 collects smaller buffers, of ordinary requests, well enough. */
const MIN_DROPPED_BYTES = 65_536;

/** Which buffers a collection frees: those just allocated, or all. */
type CollectionKind = 'major' | 'minor';

type Collect = (options: {readonly type: CollectionKind}) => void;

/** Counts buffers that are no longer used, and has them collected. */
export class BufferCollection {
  private readBytes = 0;
  private droppedBytes = 0;

  /** @param collect Collects garbage; V8's collector by default. */
  constructor(private collect?: Collect) {}

  /** Records buffers that were read and are not kept. */
  recordRead(bytes: number): void {
    this.readBytes += bytes;
    if (this.readBytes >= COLLECT_BYTES) this.run('minor');
  }

  /** Records buffers that were kept for a while and are given up. */
  recordDropped(bytes: number): void {
    if (bytes < MIN_DROPPED_BYTES) return;
    this.droppedBytes += bytes;
    if (this.droppedBytes >= COLLECT_BYTES) this.run('major');
  }

  private run(type: CollectionKind): void {
    this.readBytes = 0;
    if (type === 'major') this.droppedBytes = 0;
    this.collect ??= loadCollector();
    this.collect({type});
  }
}

/** The buffers of this process. */
export const BUFFER_COLLECTION = new BufferCollection();

/** Gives V8's collector, which a context gets if a flag is set before it. */
function loadCollector(): Collect {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as Collect;
}
