/**
 * Tells all hosts at once of crashes, as the same request may come again
 * anywhere a moment later; and once more, as a datagram may be lost.
 */
import type {Crash} from '@irisdock/decisions';
import type {PeerDatagram} from '../model/peer_message.js';
import {DelayedTasks} from './delayed_tasks.js';

/**
 * Crashes are gathered for so long, in ms: what ran on one endpoint is lost
 * together.
 */
const GATHER_MS = 5;
/** After so long they are told once more, in ms. */
const REPEAT_MS = 700;
/** Crashes in one datagram; one takes some 60 bytes. */
const MAX_PER_DATAGRAM = 16;

/** Tells hosts. */
export class CrashBroadcaster {
  private gathered: Crash[] = [];
  private readonly later = new DelayedTasks();

  constructor(private readonly sendToAll: (datagram: PeerDatagram) => void) {}

  /**
   * Tells of a crash.
   *
   * @param isUrgent Whether it is told at once.
   */
  publishCrash(crash: Crash, isUrgent: boolean): void {
    if (isUrgent) {
      this.sendTwice([crash]);
      return;
    }
    this.gathered.push(crash);
    if (this.gathered.length > 1) return;
    this.later.plan(GATHER_MS, () => {
      const crashes = this.gathered;
      this.gathered = [];
      this.sendTwice(crashes);
    });
  }

  /** Tells that a content ends nothing. */
  publishCleared(content: string): void {
    this.sendToAll({kind: 'cleared', content});
    this.later.plan(REPEAT_MS, () => {
      this.sendToAll({kind: 'cleared', content});
    });
  }

  close(): void {
    this.later.close();
  }

  private sendTwice(crashes: readonly Crash[]): void {
    this.sendParts(crashes);
    this.later.plan(REPEAT_MS, () => {
      this.sendParts(crashes);
    });
  }

  private sendParts(crashes: readonly Crash[]): void {
    for (let from = 0; from < crashes.length; from += MAX_PER_DATAGRAM) {
      const part = crashes.slice(from, from + MAX_PER_DATAGRAM);
      this.sendToAll({kind: 'crashes', crashes: part});
    }
  }
}
