/**
 * Holds runs of one request against the promise that two endpoints do not work
 * on it side by side for long, by what the endpoints saw, for hosts that
 * nothing befell.
 */
import type {Disturbances} from './disturbances.js';
import type {EndpointInstance} from './endpoint_fleet.js';

/** An endpoint that works on a request. */
export type WorkingInstance = Pick<
  EndpointInstance,
  'deafUntil' | 'harmedUntil' | 'id'
>;

/** A run, from when the endpoint took it until it stopped to work on it. */
interface WorkSpan {
  readonly instance: WorkingInstance;
  readonly from: number;
  until: number;
}

/** How long two endpoints may work on one request, in ms. */
const SIDE_BY_SIDE_MS = 400;
/** Beyond it, for a busy machine, in ms. */
const MARGIN_MS = 600;
/** How long a host must have been left alone to be in touch, in ms. */
const CONTACT_MS = 3000;

/** The witness. */
export class OverlapWitness {
  private readonly spans = new Map<string, WorkSpan[]>();

  constructor(private readonly disturbances: Disturbances) {}

  /** Takes it that an endpoint begins to work on an attempt. */
  recordStart(attemptId: string, instance: WorkingInstance, at: number): void {
    const spans = this.spans.get(attemptId) ?? [];
    spans.push({instance, from: at, until: Infinity});
    this.spans.set(attemptId, spans);
  }

  /** Takes it that an endpoint no longer works on an attempt. */
  recordEnd(attemptId: string, instance: WorkingInstance, at: number): void {
    const spans = this.spans.get(attemptId) ?? [];
    const span = spans.find(
      (one) => one.instance === instance && one.until === Infinity,
    );
    if (span !== undefined) span.until = at;
  }

  /**
   * Lists what broke the bound, in words that name who and what.
   *
   * @param findHost Gives the host that a caller sent an attempt to.
   */
  listFaults(findHost: (attemptId: string) => string | undefined): string[] {
    const faults: string[] = [];
    for (const [attemptId, spans] of this.spans) {
      const host = findHost(attemptId) ?? '';
      for (const [index, span] of spans.entries()) {
        const next = spans[index + 1];
        if (next === undefined || !this.isTooLong(span, next, host)) continue;
        const ids = `${span.instance.id} and ${next.instance.id}`;
        faults.push(`${attemptId} ran at ${ids} side by side, by ${host}`);
      }
    }
    return faults;
  }

  private isTooLong(span: WorkSpan, next: WorkSpan, host: string): boolean {
    const {deafUntil, harmedUntil} = span.instance;
    // What cannot be reached cannot be told to stop.
    const from = Math.max(next.from, deafUntil, harmedUntil);
    const until = Math.min(span.until, next.until);
    if (until - from <= SIDE_BY_SIDE_MS + MARGIN_MS) return false;
    return !this.disturbances
      .listBetween(host, next.from - CONTACT_MS, until)
      .some(({part}) => part === 'hosts' || part === 'endpoint paths');
  }
}
