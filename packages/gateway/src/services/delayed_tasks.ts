/** Runs tasks after a delay unless they are cancelled before. */
export class DelayedTasks {
  private readonly timers = new Set<NodeJS.Timeout>();

  /** Runs a task after a delay. */
  plan(delayMs: number, task: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      task();
    }, delayMs);
    this.timers.add(timer);
  }

  /** Cancels all pending tasks. */
  close(): void {
    for (const timer of this.timers) clearTimeout(timer);
    this.timers.clear();
  }
}
