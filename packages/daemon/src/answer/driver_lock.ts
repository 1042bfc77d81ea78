/**
 * Allows one driver at a time per request. A newer driver stops the current one
 * and waits until it has released the lock, so that the caller's newest
 * connection receives the answer.
 */

/** The lock held by the driver that runs a request. */
export class DriverLock {
  /** The number of drivers that hold the lock or wait for it. */
  private driverCount = 0;
  /** Stops the driver that arrived last. */
  private newestController = new AbortController();
  /** Resolves once the driver that arrived last has released the lock. */
  private newestReleased: Promise<void> = Promise.resolve();
  /** Stops the driver that holds the lock, or held it last. */
  private holderController = this.newestController;
  private resolveReleased: () => void = () => undefined;

  /** Whether no driver holds the lock or waits for it. */
  get isFree(): boolean {
    return this.driverCount === 0;
  }

  /** Whether a newer driver waits for the holder. */
  get hasWaiter(): boolean {
    return this.driverCount > 1;
  }

  /** The holder's signal; aborted when a newer driver wants the lock. */
  get signal(): AbortSignal {
    return this.holderController.signal;
  }

  /** Stops the previous driver and acquires the lock after its release. */
  async acquire(): Promise<void> {
    this.driverCount++;
    this.newestController.abort();
    const controller = new AbortController();
    this.newestController = controller;
    const previousReleased = this.newestReleased;
    let resolveOwn: () => void = () => undefined;
    this.newestReleased = new Promise((resolve) => {
      resolveOwn = resolve;
    });
    await previousReleased;
    // No other code runs between the resumption and these assignments.
    this.holderController = controller;
    this.resolveReleased = resolveOwn;
  }

  /** Stops the holder and all waiting drivers. */
  stop(): void {
    this.holderController.abort();
    this.newestController.abort();
  }

  /** Releases the lock. */
  release(): void {
    this.driverCount--;
    this.resolveReleased();
  }
}
