/**
 * One driver at a time for one request. A newer driver stops the one before
 * and takes its turn after it, so that the newest connection of the caller is
 * the one that gets the answer.
 */

/** Held by the driver that runs a request. */
export class DriverLock {
  /** Drivers that hold the lock or wait for it. */
  private drivers = 0;
  /** Of the driver that came last. */
  private newest = new AbortController();
  /** Resolves once the driver that came last has ended. */
  private newestEnded: Promise<void> = Promise.resolve();
  /** Of the driver that holds the lock, or held it last. */
  private holder = this.newest;
  private resolveEnded: () => void = () => undefined;

  /** Whether no driver runs the request and none waits to. */
  get isFree(): boolean {
    return this.drivers === 0;
  }

  /** Whether a newer driver waits for the holder. */
  get hasWaiter(): boolean {
    return this.drivers > 1;
  }

  /** Of the holder; aborted when a newer driver wants the lock. */
  get signal(): AbortSignal {
    return this.holder.signal;
  }

  /** Stops the driver before and takes the lock once that has ended. */
  async acquire(): Promise<void> {
    this.drivers++;
    this.newest.abort();
    const controller = new AbortController();
    this.newest = controller;
    const before = this.newestEnded;
    let resolveOwn: () => void = () => undefined;
    this.newestEnded = new Promise((resolve) => {
      resolveOwn = resolve;
    });
    await before;
    // What is set here is set before anything else can run.
    this.holder = controller;
    this.resolveEnded = resolveOwn;
  }

  /** Stops the holder and whoever waits. */
  stop(): void {
    this.holder.abort();
    this.newest.abort();
  }

  /** Gives the lock back. */
  release(): void {
    this.drivers--;
    this.resolveEnded();
  }
}
