/**
 * Holds the answer of an attempt that runs beside a silent one, until it is
 * certain which of the two continues the stream. At most one chunk of events is
 * held, as reading stops there.
 */
import type {EventId, ServerSentEvent} from '@irisdock/decisions';
import type {HeaderLines} from '../model/request_metadata.js';
import type {Silence} from './silence_detector.js';
import type {AttemptListener} from './stream_attempt.js';
import type {StreamSink} from './stream_sink.js';

/** Passes the answer of one attempt on once it is open. */
export class AnswerGate implements AttemptListener {
  private handleContinued = (): void => undefined;
  /** Resolves once the held events continue the stream. */
  readonly continued = new Promise<undefined>((resolve) => {
    this.handleContinued = () => {
      resolve(undefined);
    };
  });
  private handleAnswered = (): void => undefined;
  /** Resolves once the first events are held. */
  readonly answered = new Promise<undefined>((resolve) => {
    this.handleAnswered = () => {
      resolve(undefined);
    };
  });
  private head: {status: number; lines: HeaderLines} | undefined;
  private events: readonly ServerSentEvent[] = [];
  private silence: Silence | undefined;
  private isOpen = false;
  private resume: (() => void) | undefined;

  /**
   * @param listener Receives the answer once the gate is open.
   * @param sink Decides whether held events continue the stream.
   * @param resumedAfter The event after which the attempt was to resume;
   *     undefined for a new stream.
   * @param endAttempt Ends an attempt that leaves events out; another one may
   *     not.
   */
  constructor(
    private readonly listener: AttemptListener,
    private readonly sink: Pick<
      StreamSink,
      'decideContinuation' | 'setResumedAfter'
    >,
    private readonly resumedAfter: EventId | undefined,
    private readonly endAttempt: (detail: string) => void,
  ) {}

  /** The silence for which the engine is suspected while its answer is held. */
  get heldSilence(): Silence | undefined {
    return this.isOpen ? undefined : this.silence;
  }

  /** Passes on what is held, and all that follows. */
  open(): void {
    if (this.isOpen) return;
    this.isOpen = true;
    const {head, events, silence, listener} = this;
    this.sink.setResumedAfter(this.resumedAfter);
    if (head !== undefined) listener.handleHead(head.status, head.lines);
    const drained =
      events.length === 0 ? undefined : listener.handleEvents(events);
    this.events = [];
    if (silence !== undefined) listener.handleSuspected(silence);
    if (drained === undefined) this.resume?.();
    else void drained.then(() => this.resume?.());
  }

  handleHead(status: number, lines: HeaderLines): void {
    if (this.isOpen) this.listener.handleHead(status, lines);
    else this.head = {status, lines};
  }

  handleEvents(events: readonly ServerSentEvent[]): Promise<void> | undefined {
    if (this.isOpen) return this.listener.handleEvents(events);
    // Empty ones don't show that the attempt continues the stream.
    if (events.every(({isEmpty}) => isEmpty)) return undefined;
    this.events = [...this.events, ...events];
    const resumed = new Promise<void>((resolve) => {
      this.resume = resolve;
    });
    this.handleAnswered();
    this.checkHeld();
    return resumed;
  }

  handleSuspected(silence: Silence): void {
    if (this.isOpen) this.listener.handleSuspected(silence);
    else this.silence = silence;
  }

  handleRecovered(silentMs: number): void {
    if (this.isOpen) this.listener.handleRecovered(silentMs);
    else this.silence = undefined;
  }

  private checkHeld(): void {
    const {sink, events, resumedAfter} = this;
    const continuation = sink.decideContinuation(events, resumedAfter);
    if (continuation === 'after-gap') this.endAttempt('events are missing');
    if (continuation === 'next') this.handleContinued();
  }
}
