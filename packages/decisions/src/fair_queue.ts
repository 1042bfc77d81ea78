/**
 * The queue of a service on one host: teams share by weight. Each waiting
 * request has a start mark in virtual time (start-time fair queueing); the
 * lowest mark goes first. Cost is expected work, so that a team with long
 * requests does not get more than one with short ones. When the queue is
 * full, the team with the most waiting per weight loses its newest request to
 * one of a team that has less. docs/design/admission.md.
 */

/** A request that waits. */
export interface QueuedRequest {
  readonly id: string;
  readonly team: string;
  /** The team's weight on this service, above 0. */
  readonly weight: number;
  /** Expected work, in tokens; above 0. */
  readonly cost: number;
  /** When its wait must end, on the clock that `now` comes from. */
  readonly deadlineAt: number;
}

/** What became of an offered request. */
export type OfferResult =
  | {readonly outcome: 'refused'}
  | {readonly outcome: 'waits'; readonly evicted?: QueuedRequest};

interface Entry {
  readonly waiter: QueuedRequest;
  readonly startMark: number;
  readonly finishMark: number;
}

interface TeamQueue {
  readonly entries: Entry[];
  lastFinish: number;
}

/** Requests that wait, in fair order. */
export class FairQueue {
  private readonly teams = new Map<string, TeamQueue>();
  private virtualTime = 0;
  private count = 0;

  constructor(private readonly maxCount: () => number) {}

  /** The number of requests that wait. */
  get size(): number {
    return this.count;
  }

  /** Takes a request in, pushes another out for it, or refuses it. */
  offer(waiter: QueuedRequest): OfferResult {
    if (this.count < this.maxCount()) {
      this.add(waiter);
      return {outcome: 'waits'};
    }
    const largest = this.findLargest();
    if (largest === undefined) return {outcome: 'refused'};
    const own = this.getShare(waiter.team, waiter.weight, 1);
    if (own >= largest.share) return {outcome: 'refused'};
    const pushedOut = this.takeNewest(largest.queue);
    this.add(waiter);
    return {outcome: 'waits', evicted: pushedOut};
  }

  /** Takes out the request that goes next. */
  take(): QueuedRequest | undefined {
    const [first] = this.listHeads(1);
    if (first !== undefined) this.takeHead(first.team);
    return first;
  }

  /** Lists the first request of each team, the one that goes next first. */
  listHeads(limit: number): QueuedRequest[] {
    const heads = [...this.teams.values()].flatMap((q) => q.entries[0] ?? []);
    heads.sort((a, b) => a.startMark - b.startMark);
    return heads.slice(0, limit).map((entry) => entry.waiter);
  }

  /** Takes out the first request of a team. */
  takeHead(team: string): void {
    const entry = this.teams.get(team)?.entries.shift();
    if (entry === undefined) return;
    this.virtualTime = Math.max(this.virtualTime, entry.startMark);
    this.count--;
    if (this.count === 0) this.teams.clear();
  }

  /** Takes a request out wherever it stands. */
  remove(id: string): boolean {
    for (const queue of this.teams.values()) {
      const at = queue.entries.findIndex((entry) => entry.waiter.id === id);
      if (at < 0) continue;
      queue.entries.splice(at, 1);
      this.count--;
      return true;
    }
    return false;
  }

  /** Takes out every request whose wait must have ended. */
  takeExpired(now: number): QueuedRequest[] {
    const expired: QueuedRequest[] = [];
    for (const queue of this.teams.values()) {
      for (const entry of [...queue.entries]) {
        if (entry.waiter.deadlineAt > now) continue;
        queue.entries.splice(queue.entries.indexOf(entry), 1);
        expired.push(entry.waiter);
        this.count--;
      }
    }
    return expired;
  }

  /** Takes out every request. */
  takeAll(): QueuedRequest[] {
    return this.takeExpired(Infinity);
  }

  private add(waiter: QueuedRequest): void {
    const queue = this.teams.get(waiter.team) ?? {entries: [], lastFinish: 0};
    this.teams.set(waiter.team, queue);
    const startMark = Math.max(this.virtualTime, queue.lastFinish);
    const finishMark = startMark + waiter.cost / waiter.weight;
    queue.lastFinish = finishMark;
    queue.entries.push({waiter, startMark, finishMark});
    this.count++;
  }

  private takeNewest(queue: TeamQueue): QueuedRequest {
    const entry = queue.entries.pop();
    if (entry === undefined) throw new Error('The largest queue is empty.');
    queue.lastFinish = entry.startMark;
    this.count--;
    return entry.waiter;
  }

  private findLargest(): {queue: TeamQueue; share: number} | undefined {
    let largest: {queue: TeamQueue; share: number} | undefined;
    for (const [team, queue] of this.teams) {
      const weight = queue.entries.at(-1)?.waiter.weight;
      if (weight === undefined) continue;
      const share = this.getShare(team, weight, 0);
      if (largest !== undefined && share <= largest.share) continue;
      largest = {queue, share};
    }
    return largest;
  }

  private getShare(team: string, weight: number, more: number): number {
    return ((this.teams.get(team)?.entries.length ?? 0) + more) / weight;
  }
}
