/**
 * The queue of a service on one host, which teams share by weight (start-time
 * fair queueing): each request gets a start tag in virtual time, and the one
 * with the lowest tag goes first. The cost of a request is its expected work,
 * so that a team with long requests gets no more than one with short requests.
 * If the queue is full, a request of a team with fewer waiting requests per
 * weight evicts the newest request of the team with the most. See
 * docs/design/admission.md.
 */

/** A request in the queue. */
export interface QueuedRequest {
  readonly id: string;
  readonly team: string;
  /** The team's weight on this service, above 0. */
  readonly weight: number;
  /** Expected work, in tokens; above 0. */
  readonly cost: number;
  /** When it has to leave the queue, on the same clock as `now`. */
  readonly deadlineAt: number;
}

/** The result of offering a request to the queue. */
export type OfferResult =
  | {readonly outcome: 'refused'}
  | {readonly outcome: 'waits'; readonly evicted?: QueuedRequest};

interface Entry {
  readonly request: QueuedRequest;
  /** The virtual time at which the request should start. */
  readonly startTag: number;
  /** The virtual time at which it would finish. */
  readonly finishTag: number;
}

interface TeamQueue {
  readonly entries: Entry[];
  /** The finish tag of the team's newest request. */
  lastFinishTag: number;
}

/** A weighted fair queue with bounded length. */
export class FairQueue {
  private readonly teams = new Map<string, TeamQueue>();
  private virtualTime = 0;
  private count = 0;

  constructor(private readonly maxCount: () => number) {}

  /** The number of requests in the queue. */
  get size(): number {
    return this.count;
  }

  /** Adds a request, evicting another one if necessary, or refuses it. */
  offer(request: QueuedRequest): OfferResult {
    if (this.count < this.maxCount()) {
      this.add(request);
      return {outcome: 'waits'};
    }
    const largest = this.findLargest();
    if (largest === undefined) return {outcome: 'refused'};
    const ownShare = this.getShare(request.team, request.weight, 1);
    if (ownShare >= largest.share) return {outcome: 'refused'};
    const evicted = this.takeNewest(largest.queue);
    this.add(request);
    return {outcome: 'waits', evicted};
  }

  /** Removes and returns the request that goes next. */
  take(): QueuedRequest | undefined {
    const [first] = this.listHeads(1);
    if (first !== undefined) this.takeHead(first.team);
    return first;
  }

  /**
   * Lists the first request of each team, the one that goes next first.
   *
   * @param limit The maximum number of requests to list.
   */
  listHeads(limit: number): QueuedRequest[] {
    const heads = [...this.teams.values()].flatMap((q) => q.entries[0] ?? []);
    heads.sort((a, b) => a.startTag - b.startTag);
    return heads.slice(0, limit).map((entry) => entry.request);
  }

  /** Removes the first request of a team. */
  takeHead(team: string): void {
    const entry = this.teams.get(team)?.entries.shift();
    if (entry === undefined) return;
    this.virtualTime = Math.max(this.virtualTime, entry.startTag);
    this.count--;
    if (this.count === 0) this.teams.clear();
  }

  /** Removes a request from any position; false if it is not queued. */
  remove(id: string): boolean {
    for (const queue of this.teams.values()) {
      const index = queue.entries.findIndex((entry) => entry.request.id === id);
      if (index < 0) continue;
      queue.entries.splice(index, 1);
      this.count--;
      return true;
    }
    return false;
  }

  /** Removes and returns all requests whose deadline has passed. */
  takeExpired(now: number): QueuedRequest[] {
    const expired: QueuedRequest[] = [];
    for (const queue of this.teams.values()) {
      for (const entry of [...queue.entries]) {
        if (entry.request.deadlineAt > now) continue;
        queue.entries.splice(queue.entries.indexOf(entry), 1);
        expired.push(entry.request);
        this.count--;
      }
    }
    return expired;
  }

  /** Removes and returns all requests. */
  takeAll(): QueuedRequest[] {
    return this.takeExpired(Infinity);
  }

  private add(request: QueuedRequest): void {
    const queue = this.teams.get(request.team) ?? {
      entries: [],
      lastFinishTag: 0,
    };
    this.teams.set(request.team, queue);
    const startTag = Math.max(this.virtualTime, queue.lastFinishTag);
    const finishTag = startTag + request.cost / request.weight;
    queue.lastFinishTag = finishTag;
    queue.entries.push({request, startTag, finishTag});
    this.count++;
  }

  private takeNewest(queue: TeamQueue): QueuedRequest {
    const entry = queue.entries.pop();
    if (entry === undefined) throw new Error('The largest queue is empty.');
    queue.lastFinishTag = entry.startTag;
    this.count--;
    return entry.request;
  }

  /** Finds the team with the most waiting requests per weight. */
  private findLargest(): {queue: TeamQueue; share: number} | undefined {
    let largest: {queue: TeamQueue; share: number} | undefined;
    for (const [team, queue] of this.teams) {
      const weight = queue.entries.at(-1)?.request.weight;
      if (weight === undefined) continue;
      const share = this.getShare(team, weight, 0);
      if (largest !== undefined && share <= largest.share) continue;
      largest = {queue, share};
    }
    return largest;
  }

  /**
   * Returns the number of requests of a team per weight.
   *
   * @param added Requests to count in addition to those in the queue.
   */
  private getShare(team: string, weight: number, added: number): number {
    return ((this.teams.get(team)?.entries.length ?? 0) + added) / weight;
  }
}
