/**
 * Tells which requests endpoints begin, for usage reports. The host that sends
 * a request to the endpoint records it. Requests of routes without a team are
 * left out.
 */
import type {Clock} from '@irisdock/kernel';
import type {PlainAnswerResult} from './plain_answer_reader.js';

/**
 * A plain call without an answer counts after this time, in ms, so that a long
 * call is counted before its window is final. It is longer than a connection
 * takes to open: until then, the call may not have been sent.
 */
const LONG_CALL_MS = 500;

/** Receives the team and the time of a request on the monotonic clock. */
export type BegunListener = (team: string, at: number) => void;

/** Records begun requests; does nothing without a listener. */
export class BegunRequests {
  listener: BegunListener | undefined;

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
    const timer = setTimeout(count, LONG_CALL_MS);
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
