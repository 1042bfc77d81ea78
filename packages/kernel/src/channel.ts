/**
 * Channels join senders to `most` streams: what is posted to a channel comes
 * out of its stream, once for each observer, in order.
 */
import {Stream, type Scheduler, type Sink} from 'most';

/** A point that messages are posted to and observed at as a stream. */
export class Channel<M> {
  /** All messages posted from the moment of observing on. */
  readonly stream: Stream<M>;
  private readonly sinks = new Map<Sink<M>, Scheduler>();
  private closed = false;

  constructor() {
    this.stream = new Stream<M>({
      run: (sink, scheduler) => {
        this.sinks.set(sink, scheduler);
        return {
          dispose: () => {
            this.sinks.delete(sink);
          },
        };
      },
    });
  }

  /** Sends a message to every observer. */
  post(message: M): void {
    if (this.closed) return;
    for (const [sink, scheduler] of [...this.sinks]) {
      sink.event(scheduler.now(), message);
    }
  }

  /** Ends the stream of every observer. */
  close(): void {
    if (this.closed) return;
    this.closed = true;
    for (const [sink, scheduler] of [...this.sinks]) {
      sink.end(scheduler.now());
    }
    this.sinks.clear();
  }
}
