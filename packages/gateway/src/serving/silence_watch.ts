/**
 * Watches for the silence of one stream. After a short silence the endpoint
 * is asked whether it answers at all: one that does not is lost at once, one
 * that does gets longer. Before the first event there is only the question,
 * asked again and again, as prompts may take long to read.
 */
import type {EndpointProber} from './endpoint_prober.js';
import type {EndpointRecord} from './endpoint_record.js';

/** Silence between events before the endpoint is asked, in ms. */
const ASK_AFTER_MS = 200;
/** How long it may take to answer, in ms; it takes a few when it is well. */
const ANSWER_MS = 150;
/**
 * Silence after which a stream is lost though its endpoint answers, in ms.
 * Callers aim at pauses below 700 ms, and going on elsewhere takes some 100.
 */
const LOST_AFTER_MS = 560;
/**
 * The wait for a first event before the endpoint is asked, in ms. Half of the
 * first events come within 1.5 s; a loss that is noticed then leaves time to
 * read a prompt anew within the usual aim of 4.5 s. Each question costs, and
 * mostly a connection too.
 */
const FIRST_ASK_MS = 1200;
/** The time between questions before the first event, in ms. */
const ASK_EVERY_MS = 600;
/** Unanswered questions before the first event that make a loss. */
const MAX_UNANSWERED = 2;

/** Watches one stream. */
export class SilenceWatch {
  private timer: NodeJS.Timeout | undefined;
  private hasEvents = false;
  private unanswered = 0;
  /** Changes with each event, so that old answers are told apart. */
  private round = 0;
  private stopped = false;

  constructor(
    private readonly endpoint: EndpointRecord,
    private readonly prober: EndpointProber,
    private readonly handleLost: (detail: string) => void,
  ) {}

  /** Starts with the wait for the first event. */
  start(): void {
    this.plan(FIRST_ASK_MS, () => this.probeBeforeFirst());
  }

  /** Takes it that events arrived. */
  recordEvents(): void {
    this.hasEvents = true;
    this.round++;
    this.plan(ASK_AFTER_MS, () => this.probeInStream());
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  private plan(ms: number, step: () => Promise<void>): void {
    clearTimeout(this.timer);
    if (this.stopped) return;
    this.timer = setTimeout(() => void step(), ms);
  }

  private async probeBeforeFirst(): Promise<void> {
    const answers = await this.prober.probe(this.endpoint, ANSWER_MS);
    if (this.hasEvents || this.stopped) return;
    this.unanswered = answers ? 0 : this.unanswered + 1;
    if (this.unanswered >= MAX_UNANSWERED) {
      this.handleLost('no answer before the first event');
      return;
    }
    const waitMs = answers ? ASK_EVERY_MS : 0;
    this.plan(waitMs, () => this.probeBeforeFirst());
  }

  private async probeInStream(): Promise<void> {
    const {round} = this;
    const answers = await this.prober.probe(this.endpoint, ANSWER_MS);
    if (round !== this.round || this.stopped) return;
    if (!answers) {
      this.handleLost('silent, and no answer to a question');
      return;
    }
    const leftMs = LOST_AFTER_MS - ASK_AFTER_MS;
    this.plan(leftMs, () => {
      this.handleLost('silent, though the endpoint answers');
      return Promise.resolve();
    });
  }
}
