/**
 * Requests to one other host by datagram, sent again when the answer may have
 * been lost.
 */
import type {Clock} from '@irisdock/kernel';

/**
 * How long an answer is waited for before the request is sent again, in ms. Ways
 * between failure domains take about 3 ms there and back; a busy host may take 20.
 */
const ANSWER_MS = 25;
/** All three are lost once in 8,000 requests where 2.5 in 100 datagrams are. */
const MOST_TRIES = 3;
/** The age from which a try's answer is of no use, in ms; a busy host is late. */
const MOST_LATE_MS = 100;

/** What requests and answers are matched by. */
export interface Numbered {
  readonly number: number;
}

/** Sends requests and matches answers. */
export class PeerRequests<Ask extends Numbered, Answer extends Numbered> {
  private number = 0;
  private readonly open = new Map<number, (answer: Answer) => void>();

  constructor(
    private readonly clock: Clock,
    private readonly send: (to: string, ask: Ask) => void,
  ) {}

  /** Asks a host; undefined when it did not answer in time. */
  async poll(
    host: string,
    createAsk: (number: number) => Ask,
  ): Promise<Answer | undefined> {
    this.number++;
    const {number} = this;
    const ask = createAsk(number);
    const limit = new AbortController();
    let found: Answer | undefined;
    this.open.set(number, (answer) => {
      found = answer;
      limit.abort();
    });
    const askedAt = this.clock.getNow();
    for (let tries = 0; tries < MOST_TRIES; tries++) {
      this.send(host, ask);
      await this.clock.wait(ANSWER_MS, limit.signal);
      if (limit.signal.aborted) break;
    }
    this.open.delete(number);
    // A permit is for now: one that waited beside a frozen process is not used.
    const isOld = this.clock.getNow() - askedAt > MOST_TRIES * MOST_LATE_MS;
    return isOld ? undefined : found;
  }

  /** Takes an answer. */
  accept(answer: Answer): void {
    this.open.get(answer.number)?.(answer);
  }
}
