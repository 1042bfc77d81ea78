/**
 * Informs all hosts of crashes at once, as a caller may repeat the request on
 * any host right away. Each message is sent twice, as a datagram may be lost.
 */
import type {Crash} from '@irisdock/decisions';
import type {PeerDatagram} from '../model/peer_message.js';
import {DelayedTasks} from './delayed_tasks.js';

/**
 * How long crashes are batched, in ms: all requests that ran on one endpoint
 * fail together.
 */
const BATCH_DELAY_MS = 5;
/** The delay before a message is sent again, in ms. */
const REPEAT_MS = 700;
/** The maximum number of crashes in one datagram; one takes some 60 bytes. */
const MAX_PER_DATAGRAM = 16;

/** Sends crashes and their clearing to all hosts. */
export class CrashBroadcaster {
  private batch: Crash[] = [];
  private readonly tasks = new DelayedTasks();

  constructor(private readonly sendToAll: (datagram: PeerDatagram) => void) {}

  /**
   * Sends a crash.
   *
   * @param isUrgent Whether it is sent at once instead of in a batch.
   */
  publishCrash(crash: Crash, isUrgent: boolean): void {
    if (isUrgent) {
      this.sendTwice([crash]);
      return;
    }
    this.batch.push(crash);
    if (this.batch.length > 1) return;
    this.tasks.plan(BATCH_DELAY_MS, () => {
      const crashes = this.batch;
      this.batch = [];
      this.sendTwice(crashes);
    });
  }

  /** Sends that a content was cleared: it does not crash endpoints. */
  publishCleared(content: string): void {
    this.sendToAll({kind: 'cleared', content});
    this.tasks.plan(REPEAT_MS, () => {
      this.sendToAll({kind: 'cleared', content});
    });
  }

  close(): void {
    this.tasks.close();
  }

  private sendTwice(crashes: readonly Crash[]): void {
    this.sendBatches(crashes);
    this.tasks.plan(REPEAT_MS, () => {
      this.sendBatches(crashes);
    });
  }

  private sendBatches(crashes: readonly Crash[]): void {
    for (let from = 0; from < crashes.length; from += MAX_PER_DATAGRAM) {
      const part = crashes.slice(from, from + MAX_PER_DATAGRAM);
      this.sendToAll({kind: 'crashes', crashes: part});
    }
  }
}
