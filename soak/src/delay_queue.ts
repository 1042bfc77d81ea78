/** Does steps in order, each no sooner than its delay; used for slow links. */
export class DelayQueue {
  private readonly steps: {readonly dueAt: number; run(): void}[] = [];
  private timer: NodeJS.Timeout | undefined;

  /** Adds a step; it is done at once when nothing waits before it. */
  add(delayMs: number, run: () => void): void {
    if (delayMs <= 0 && this.steps.length === 0) {
      run();
      return;
    }
    this.steps.push({dueAt: performance.now() + delayMs, run});
    this.plan();
  }

  private plan(): void {
    const first = this.steps[0];
    if (first === undefined || this.timer !== undefined) return;
    const waitMs = Math.max(0, first.dueAt - performance.now());
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.steps.shift()?.run();
      this.plan();
    }, waitMs);
  }
}
