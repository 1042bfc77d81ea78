/**
 * Holds requests that end the endpoints which run them against their bound, by
 * what the endpoints saw: at most three runs by hosts in touch once three
 * endpoints had ended and the hosts had time to tell each other.
 */
import type {Disturbances} from './disturbances.js';

/** Requests whose body begins with this end the endpoint that runs them. */
export const CRASH_PREFIX = 'crash-';

/** Endpoints that may end before the bound holds. */
const COUNTED_FROM = 3;
/** Runs after that. */
const MOST_LATER = 3;
/** How long hosts have to tell each other, and to be left alone, in ms. */
const CONTACT_MS = 3000;

/** One run that ended its endpoint. */
export interface CrashingRun {
  readonly body: string;
  readonly endpoint: string;
  /** The host that sent it. */
  readonly host: string;
  readonly at: number;
}

/** The witness. */
export class CrashWitness {
  private readonly runs = new Map<string, CrashingRun[]>();

  constructor(private readonly disturbances: Disturbances) {}

  /** Takes a run. */
  recordRun(run: CrashingRun): void {
    const runs = this.runs.get(run.body) ?? [];
    runs.push(run);
    this.runs.set(run.body, runs);
  }

  /** Lists what broke the bound, in words that name who and what. */
  listFaults(): string[] {
    const faults: string[] = [];
    for (const [body, runs] of this.runs) {
      const later = this.listLater(runs);
      if (later.length <= MOST_LATER) continue;
      const hosts = later.map(({host}) => host).join(' ');
      faults.push(`${body} ran ${later.length} times too often, by ${hosts}`);
    }
    return faults;
  }

  private listLater(runs: readonly CrashingRun[]): CrashingRun[] {
    const ended = new Set<string>();
    let boundAt = Infinity;
    const later: CrashingRun[] = [];
    for (const run of runs) {
      if (run.at > boundAt + CONTACT_MS && this.isInTouch(run)) later.push(run);
      ended.add(run.endpoint);
      if (ended.size === COUNTED_FROM) boundAt = Math.min(boundAt, run.at);
    }
    return later;
  }

  /** Whether nothing befell the host, or the store, for a while before. */
  private isInTouch({host, at}: CrashingRun): boolean {
    const disturbed = this.disturbances.listBetween(host, at - CONTACT_MS, at);
    return disturbed.every(({part}) => part === 'callers');
  }
}
