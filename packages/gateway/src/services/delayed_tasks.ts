/** Runs tasks after a delay unless they are cancelled before. */
export class DelayedTasks {
  private readonly timers = new Set<NodeJS.Timeout>();
  private isClosed = false;

  /** Runs a task after a delay, unless the tasks are cancelled. */
  plan(delayMs: number, task: () => void): void {
    if (this.isClosed) return;
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      task();
    }, delayMs);
    this.timers.add(timer);
  }

  /** Cancels all pending tasks. */
  close(): void {
    this.isClosed = true;
    for (const timer of this.timers) clearTimeout(timer);
    this.timers.clear();
  }
}
