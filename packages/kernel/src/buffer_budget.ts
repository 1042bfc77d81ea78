/**
 * Bounds the memory of all messages that are being read, however many there
 * are. Beyond the bound the largest one is ended: most messages are small, and
 * a sender without end soon has the largest.
 */

/**
 * A quarter of the 128 MiB of a host may go to answers, half of it to blocks
 * that have just been replaced by larger ones. Two of the longest answers fit.
 */
const MAX_BUFFERED_BYTES = 16_777_216;

/** The part of the memory that one message holds. */
export interface BufferHold {
  /** Sets how many bytes the message holds now. */
  set(bytes: number): void;
  /** Keeps the bytes until the hold is closed; the message is not ended. */
  keep(): void;
  /** Gives them all back. */
  close(): void;
}

interface OpenHold {
  bytes: number;
  isKept: boolean;
  readonly handleExcess: () => void;
}

/** The memory for messages that are being read. */
export class BufferBudget {
  private readonly holds = new Set<OpenHold>();
  private heldBytes = 0;

  /** @param maxBytes The most bytes that all holds may have together. */
  constructor(private maxBytes: number = MAX_BUFFERED_BYTES) {}

  /** The bytes of all holds. */
  get totalBytes(): number {
    return this.heldBytes;
  }

  /** Sets the most bytes that all holds may have; in force from the next set. */
  setMaxBytes(bytes: number): void {
    this.maxBytes = bytes;
  }

  /**
   * Opens a hold without any bytes.
   *
   * @param handleExcess Called when the message must end, as it is the largest
   *     of those that are not kept; its hold is closed by then.
   */
  open(handleExcess: () => void): BufferHold {
    const hold: OpenHold = {bytes: 0, isKept: false, handleExcess};
    this.holds.add(hold);
    return {
      set: (bytes) => {
        this.setBytes(hold, bytes);
      },
      keep: () => {
        hold.isKept = true;
      },
      close: () => {
        this.drop(hold);
      },
    };
  }

  private setBytes(hold: OpenHold, bytes: number): void {
    if (bytes === hold.bytes || !this.holds.has(hold)) return;
    this.heldBytes += bytes - hold.bytes;
    hold.bytes = bytes;
    while (this.heldBytes > this.maxBytes) {
      const largest = this.findLargest();
      if (largest === undefined) return;
      this.drop(largest);
      largest.handleExcess();
    }
  }

  private drop(hold: OpenHold): void {
    if (!this.holds.delete(hold)) return;
    this.heldBytes -= hold.bytes;
  }

  private findLargest(): OpenHold | undefined {
    let largest: OpenHold | undefined;
    for (const hold of this.holds) {
      if (hold.isKept) continue;
      if (hold.bytes > (largest?.bytes ?? 0)) largest = hold;
    }
    return largest;
  }
}
