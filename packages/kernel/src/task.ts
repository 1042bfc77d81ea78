/**
 * A task owns state and sockets that nothing else touches, and is spoken to
 * by messages. It handles one message at a time, in the order of arrival.
 */
import {fromPromise} from 'most';
import {Channel} from './channel.js';
import {getErrorText} from './errors.js';
import type {Logger} from './log.js';

/** Handles one message; a rejected promise is logged and the task goes on. */
export type Handler<M> = (message: M) => Promise<void> | void;

/** A mailbox with one reader. */
export class Task<M> {
  private readonly mailbox = new Channel<M>();
  private readonly finished: Promise<unknown>;

  constructor(
    readonly name: string,
    private readonly handler: Handler<M>,
    private readonly log: Logger,
  ) {
    this.finished = this.mailbox.stream
      .concatMap((message) => fromPromise(this.handle(message)))
      .drain();
  }

  /** Puts a message at the end of the mailbox. */
  post(message: M): void {
    this.mailbox.post(message);
  }

  /** Handles what is in the mailbox, then ends. */
  async stop(): Promise<void> {
    this.mailbox.close();
    await this.finished;
  }

  private async handle(message: M): Promise<void> {
    try {
      await this.handler(message);
    } catch (thrown) {
      const error = getErrorText(thrown);
      this.log.writeError('A message was not handled.', {
        task: this.name,
        error,
      });
    }
  }
}

/** Work that repeats until it is stopped; one round never overlaps the next. */
export class Repeater {
  private readonly controller = new AbortController();
  private running: Promise<void> = Promise.resolve();

  constructor(
    private readonly wait: (signal: AbortSignal) => Promise<void>,
    private readonly work: (signal: AbortSignal) => Promise<void>,
    private readonly log: Logger,
  ) {}

  /** Starts the rounds: work, wait, work, and so on. */
  start(): void {
    this.running = this.run();
  }

  /** Ends after the round under way. */
  async stop(): Promise<void> {
    this.controller.abort();
    await this.running;
  }

  private async run(): Promise<void> {
    const {signal} = this.controller;
    while (!signal.aborted) {
      try {
        await this.work(signal);
      } catch (thrown) {
        this.log.writeError('A round failed.', {error: getErrorText(thrown)});
      }
      await this.wait(signal);
    }
  }
}
