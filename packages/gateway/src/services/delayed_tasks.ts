/** Steps that are done later, and not at all once they are given up. */
export class DelayedTasks {
  private readonly timers = new Set<NodeJS.Timeout>();

  /** Does a step after a while. */
  plan(ms: number, step: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      step();
    }, ms);
    this.timers.add(timer);
  }

  /** Gives all up that are left. */
  close(): void {
    for (const timer of this.timers) clearTimeout(timer);
    this.timers.clear();
  }
}
