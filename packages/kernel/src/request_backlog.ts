/**
 * Bounds the memory of the requests that wait for those before them, on all
 * connections of a host. Beyond the bound the connection with the most is
 * closed. As its memory is free only once it has been closed, nothing is read
 * from any connection until then.
 */
import {BufferBudget, type BufferHold} from './buffer_budget.js';

/** What all waiting requests may take by default, in bytes. */
export const DEFAULT_BACKLOG_BYTES = 10_000_000;

/** A connection on which requests may wait. */
export interface BacklogConnection {
  /** Closes it, as its requests take the most of a memory that is used up. */
  closeExcess(): void;
  /** Stops reading from it for the rest of this turn of the event loop. */
  stopReading(): void;
  /** Reads from it again, unless it has reasons of its own not to. */
  startReading(): void;
}

/** The requests that wait at a host. */
export class RequestBacklog {
  private readonly budget: BufferBudget;
  private readonly connections = new Set<BacklogConnection>();
  private isStopped = false;

  /** @param maxBytes What all waiting requests may take together, in bytes. */
  constructor(maxBytes = DEFAULT_BACKLOG_BYTES) {
    this.budget = new BufferBudget(maxBytes);
  }

  /** The memory of all waiting requests, in bytes. */
  get totalBytes(): number {
    return this.budget.totalBytes;
  }

  /** Adds a connection until its hold is closed. */
  add(connection: BacklogConnection): BufferHold {
    this.connections.add(connection);
    const hold = this.budget.open(() => {
      connection.closeExcess();
      this.stopReading();
    });
    if (this.isStopped) connection.stopReading();
    return {
      ...hold,
      close: () => {
        this.connections.delete(connection);
        hold.close();
      },
    };
  }

  private stopReading(): void {
    if (this.isStopped) return;
    this.isStopped = true;
    for (const connection of this.connections) connection.stopReading();
    // Connections are closed at the end of a turn, after its immediates.
    setImmediate(() => {
      setImmediate(() => {
        this.startReading();
      });
    });
  }

  private startReading(): void {
    this.isStopped = false;
    for (const connection of this.connections) connection.startReading();
  }
}
