/**
 * Tells which requests endpoints begin, for usage reports. The host that sends
 * a request to the endpoint records it. Requests of routes without a team are
 * left out.
 */
import type {Clock} from '@irisdock/kernel';

/**
 * A plain call without an answer counts after this time, in ms, so that a long
 * call is counted before its window is final. It is longer than a connection
 * takes to open: until then, the call may not have been sent.
 */
const LONG_CALL_MS = 500;

/** Receives the team and the time of a request on the monotonic clock. */
export type BegunListener = (team: string, at: number) => void;

/** A plain call that was sent to an endpoint. */
export interface SentCall {
  /** Counts the call if it may have run, unless it is counted. */
  finish(mayHaveRun: boolean): void;
}

const UNCOUNTED_CALL: SentCall = {finish: () => undefined};

/** Records begun requests; does nothing without a listener. */
export class BegunRequests {
  listener: BegunListener | undefined;

  constructor(private readonly clock: Pick<Clock, 'getNow'>) {}

  /** Records that an endpoint began a stream. */
  recordStream(team: string | undefined): void {
    if (team !== undefined) this.listener?.(team, this.clock.getNow());
  }

  /** Starts to watch a plain call that is being sent. */
  startCall(team: string | undefined): SentCall {
    const {listener} = this;
    if (listener === undefined || team === undefined) return UNCOUNTED_CALL;
    const sentAt = this.clock.getNow();
    let isCounted = false;
    const record = (): void => {
      if (!isCounted) listener(team, sentAt);
      isCounted = true;
    };
    const timer = setTimeout(record, LONG_CALL_MS);
    return {
      finish(mayHaveRun) {
        clearTimeout(timer);
        if (mayHaveRun) record();
      },
    };
  }
}
