/** A limit on calls a second, as the platform and the weight store have. */

/** Counts calls in whole seconds. */
export class RateLimit {
  private second = 0;
  private count = 0;

  constructor(private readonly perSecond: number) {}

  /** Takes one call; false when this second's calls are used up. */
  take(nowMs: number): boolean {
    const second = Math.floor(nowMs / 1000);
    if (second !== this.second) {
      this.second = second;
      this.count = 0;
    }
    this.count++;
    return this.count <= this.perSecond;
  }
}
