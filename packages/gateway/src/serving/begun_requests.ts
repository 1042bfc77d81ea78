/**
 * Tells which requests endpoints begin, for usage reports. The host that sends
 * a request to the endpoint records it. Requests of routes without a team are
 * left out.
 */
import type {Clock} from '@irisdock/kernel';
import type {PlainAnswerResult} from './plain_answer_reader.js';

/**
 * The shortest time after which a plain call without an answer counts, in ms. It
 * is longer than a connection takes to open: until then, the call may not have
 * been sent.
 */
const LONG_CALL_MS = 500;

/** Receives the team and the time of a request on the monotonic clock. */
export type BegunListener = (team: string, at: number) => void;

/** Records begun requests; does nothing without a listener. */
export class BegunRequests {
  listener: BegunListener | undefined;
  /**
   * Computes when a call that was sent at a time counts though it has no answer,
   * both on the monotonic clock in ms. It must count before its window is final,
   * and not sooner than needed: the endpoint may still say that it did not run.
   */
  computeLatestCount: (sentAt: number) => number = (sentAt) => sentAt;

  constructor(private readonly clock: Pick<Clock, 'getNow'>) {}

  /** Records that an endpoint began a stream. */
  recordStream(team: string | undefined): void {
    if (team !== undefined) this.listener?.(team, this.clock.getNow());
  }

  /** Runs a plain call, and counts it if it may have run. */
  async watchCall(
    team: string | undefined,
    send: () => Promise<PlainAnswerResult>,
  ): Promise<PlainAnswerResult> {
    const {listener} = this;
    if (listener === undefined || team === undefined) return send();
    const sentAt = this.clock.getNow();
    let isCounted = false;
    const count = (): void => {
      if (!isCounted) listener(team, sentAt);
      isCounted = true;
    };
    const waitMs = this.computeLatestCount(sentAt) - sentAt;
    const timer = setTimeout(count, Math.max(waitMs, LONG_CALL_MS));
    try {
      const result = await send();
      if (hasPossiblyRun(result)) count();
      return result;
    } finally {
      clearTimeout(timer);
    }
  }
}

function hasPossiblyRun(result: PlainAnswerResult): boolean {
  if (result.kind === 'refused') return false;
  return result.kind === 'whole' || result.mayHaveRun;
}
