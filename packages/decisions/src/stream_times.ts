/**
 * How long streams took of late, from the request to their end. A host that is
 * told to stop begins only streams that it will most probably finish: a stream
 * that is cut is late at its caller and is read anew elsewhere, one that is
 * refused at once only costs its caller another try.
 */

/** How many streams are remembered; some seconds of a busy host. */
const MAX_REMEMBERED = 40;
/** The part of the remembered streams that were not longer. */
const MOST_PART = 0.9;

/** The times of the last streams. */
export class StreamTimes {
  private readonly times: number[] = [];

  /** Takes the time that a stream took, in ms. */
  record(ms: number): void {
    this.times.push(ms);
    if (this.times.length > MAX_REMEMBERED) this.times.shift();
  }

  /** Gives what nine of ten streams took at most, in ms; Infinity if unknown. */
  computeMostMs(): number {
    const sorted = [...this.times].sort((a, b) => a - b);
    const at = Math.ceil(sorted.length * MOST_PART) - 1;
    return sorted[at] ?? Infinity;
  }
}
