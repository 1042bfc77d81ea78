/**
 * Tells when a stream must leave an endpoint whose end was announced. The stream
 * runs on until shortly before, as it may end by itself; the streams of an
 * endpoint leave at different moments.
 */
import type {Clock, Random} from '@irisdock/kernel';
import type {EndpointRecord} from './endpoint_record.js';
import {getRandomFraction} from './serving_parts.js';

/**
 * How long before the end of its endpoint a stream leaves, in ms: the next
 * attempt is placed and admitted within some 300 ms, and its failure leaves time
 * for another one.
 */
const MIN_LEAD_MS = 900;
const MAX_LEAD_MS = 1500;

/** Watches the endpoint of one attempt. */
export class EndpointEndWatch {
  private stopWatching: (() => void) | undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly endpoint: Pick<EndpointRecord, 'watchEnd'>,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly handleDue: (endsAt: number) => void,
  ) {}

  /** Starts to watch. */
  start(): void {
    this.stopWatching = this.endpoint.watchEnd((endsAt) => {
      this.plan(endsAt);
    });
  }

  stop(): void {
    this.stopWatching?.();
    clearTimeout(this.timer);
  }

  private plan(endsAt: number): void {
    const spreadMs = MAX_LEAD_MS - MIN_LEAD_MS;
    const leadMs = MIN_LEAD_MS + spreadMs * getRandomFraction(this.random);
    const delayMs = endsAt - leadMs - this.clock.getNow();
    this.timer = setTimeout(
      () => {
        this.handleDue(endsAt);
      },
      Math.max(0, delayMs),
    );
  }
}
