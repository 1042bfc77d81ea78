/**
 * Bounds the memory of the bodies of all requests, from their first byte until
 * their requests have ended. Beyond the bound the largest body that is still
 * being read is refused; one that has been read may be running already. Small
 * bodies have a part of the memory to themselves, so that a crowd of large ones
 * does not cause ordinary requests to be refused.
 */
import {BufferBudget, type BufferHold} from './buffer_budget.js';

/** The largest body that counts as small, in bytes. */
const MAX_SMALL_BYTES = 65_536;
/** What all bodies may take by default, in bytes. */
const DEFAULT_BYTES = 16_777_216;
/** The part of the memory that only small bodies use. */
const SMALL_PART = 0.25;

/** The memory for the bodies of requests. */
export class BodyMemory {
  private readonly small: BufferBudget;
  private readonly large: BufferBudget;
  private readonly largeBytes: number;

  /** @param maxBytes What all bodies may take together, in bytes. */
  constructor(maxBytes = DEFAULT_BYTES) {
    const smallBytes = maxBytes * SMALL_PART;
    this.largeBytes = maxBytes - smallBytes;
    this.small = new BufferBudget(smallBytes);
    this.large = new BufferBudget(this.largeBytes);
  }

  /** The bytes of all bodies. */
  get totalBytes(): number {
    return this.small.totalBytes + this.large.totalBytes;
  }

  /**
   * Opens a hold for a body.
   *
   * @param maxBytes The longest body that is accepted, in bytes; one of them
   *     always fits.
   * @param handleExcess Called when the body must not be read further; its hold
   *     is closed by then.
   */
  open(maxBytes: number, handleExcess: () => void): BufferHold {
    let isLarge = false;
    let hold = this.small.open(handleExcess);
    return {
      set: (bytes) => {
        if (!isLarge && bytes > MAX_SMALL_BYTES) {
          isLarge = true;
          hold.close();
          this.large.setMaxBytes(Math.max(this.largeBytes, maxBytes));
          hold = this.large.open(handleExcess);
        }
        hold.set(bytes);
      },
      keep: () => {
        hold.keep();
      },
      close: () => {
        hold.close();
      },
    };
  }
}
