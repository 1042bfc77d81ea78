/** The switches by which a test brings about the platform's failures. */
import {setTimeout as wait} from 'node:timers/promises';
import type {WebRequest} from '@irisdock/web';
import * as z from 'zod';

/** All switches; a switch that is not named stays as it is. */
export const FAULTS_SCHEMA = z.object({
  /** Every call is refused by a closed connection. */
  outage: z.boolean().optional(),
  /** Milliseconds added to every answer. */
  delayMs: z.number().min(0).optional(),
  /** The next so many commits take effect and their answers are lost. */
  loseAnswers: z.number().int().min(0).optional(),
});

/** The present faults. */
export class Faults {
  private outage = false;
  private delayMs = 0;
  private loseAnswers = 0;

  /** Sets the named switches. */
  set(change: z.infer<typeof FAULTS_SCHEMA>): void {
    this.outage = change.outage ?? this.outage;
    this.delayMs = change.delayMs ?? this.delayMs;
    this.loseAnswers = change.loseAnswers ?? this.loseAnswers;
  }

  /** Lets a call through, after the delay; cuts it in an outage. */
  async pass(request: WebRequest): Promise<boolean> {
    if (this.delayMs > 0) await wait(this.delayMs);
    if (!this.outage) return true;
    request.message.socket.destroy();
    return false;
  }

  /** Takes one lost answer, when one is set. */
  takeLostAnswer(): boolean {
    if (this.loseAnswers === 0) return false;
    this.loseAnswers--;
    return true;
  }
}
