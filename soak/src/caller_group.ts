/** The callers of a play, and the requests with which it ends. */
import {SeededRandom, type Random} from '@irisdock/kernel';
import {AddressBook} from './address_book.js';
import {Caller} from './caller.js';
import {CRASH_PREFIX} from './crash_witness.js';
import type {HostProcess} from './host_process.js';
import type {RequestKind} from './request_kinds.js';
import {SlowCaller} from './slow_caller.js';
import type {Witness} from './witness.js';

/** What callers work with. */
export interface CallerGroupParts {
  readonly seed: number;
  /** The play's own numbers. */
  readonly random: Random;
  readonly hosts: readonly HostProcess[];
  readonly witness: Witness;
  /** Gives the newest version of the configuration. */
  getVersion(): number;
}

const CALLS: readonly RequestKind[] = ['once', 'repeatable', 'moving'];
const BRIEF_CALLS: readonly RequestKind[] = ['once', 'repeatable', 'brief'];
const STREAMS: readonly RequestKind[] = ['streamOnce', 'stream'];
const LIMITED_STREAMS: readonly RequestKind[] = [
  'streamOnce',
  'streamFew',
  'briefStream',
];
/** What each caller sends, in turn. */
const KINDS: readonly (readonly RequestKind[])[] = [
  CALLS,
  STREAMS,
  LIMITED_STREAMS,
  STREAMS,
  LIMITED_STREAMS,
  STREAMS,
  LIMITED_STREAMS,
  STREAMS,
  BRIEF_CALLS,
  STREAMS,
  LIMITED_STREAMS,
  STREAMS,
  LIMITED_STREAMS,
  STREAMS,
  LIMITED_STREAMS,
  STREAMS,
];
const CRASH_KINDS: readonly RequestKind[] = ['stream', 'repeatable'];
const SLOW_CALLERS = 2;
/** Kinds that are served in the end, and how many requests of each. */
const LAST_KINDS: readonly RequestKind[] = [
  'once',
  'repeatable',
  'stream',
  'streamOnce',
];
const LAST_REQUESTS = 6;
const LAST_TRIES = 3;

/** The callers. */
export class CallerGroup {
  private readonly callers: readonly Caller[];
  private readonly slowCallers: readonly SlowCaller[];
  private running: readonly Promise<void>[] = [];

  constructor(
    private readonly parts: CallerGroupParts,
    count: number,
  ) {
    const usual = Array.from({length: count}, (_, index) =>
      this.createCaller(
        `caller-${index + 1}`,
        KINDS[index % KINDS.length] ?? [],
      ),
    );
    this.callers = [...usual, ...this.createCrashCallers()];
    this.slowCallers = this.createSlowCallers();
  }

  /** Lets all of them send requests. */
  start(): void {
    const all = [...this.callers, ...this.slowCallers];
    this.running = all.map((caller) => caller.run());
  }

  /** Waits until their last requests have ended. */
  async stop(): Promise<void> {
    for (const caller of this.callers) caller.stop();
    for (const caller of this.slowCallers) caller.stop();
    await Promise.all(this.running);
    for (const caller of this.callers) caller.close();
  }

  /** Everything is served again once the faults are over. */
  async checkRecovery(): Promise<void> {
    const last: Promise<void>[] = [];
    for (const kind of LAST_KINDS) {
      for (let count = 0; count < LAST_REQUESTS; count++) {
        last.push(this.checkServed(kind, `last-${kind}-${count}`));
      }
    }
    await Promise.all(last);
  }

  private async checkServed(kind: RequestKind, name: string): Promise<void> {
    // Pauses would give the hosts more time than the check allows.
    const caller = this.createCaller(name, [kind], false);
    let isServed = false;
    for (let tries = 0; tries < LAST_TRIES && !isServed; tries++) {
      isServed = await caller.sendRequest(kind);
    }
    caller.close();
    if (isServed) return;
    this.parts.witness.addFault(`no ${kind} is served in the end`);
  }

  private createCaller(
    name: string,
    kinds: readonly RequestKind[],
    backsOff = true,
  ): Caller {
    const random = new SeededRandom(this.parts.random.getInt(2 ** 30));
    return new Caller(name, {...this.parts, random, kinds, backsOff});
  }

  /** Callers of requests that end the endpoints which run them. */
  private createCrashCallers(): Caller[] {
    return CRASH_KINDS.map((kind, index) => {
      // Not from the play's own numbers, which seeds stand for.
      const random = new SeededRandom(index);
      const name = `${CRASH_PREFIX}caller-${index}`;
      const body = `${CRASH_PREFIX}${index}`;
      return new Caller(name, {...this.parts, random, kinds: [kind], body});
    });
  }

  /** Callers that write slowly, to what versions dropped. */
  private createSlowCallers(): SlowCaller[] {
    return Array.from({length: SLOW_CALLERS}, (_, index) => {
      const random = new SeededRandom(this.parts.seed + index);
      // A kept answer could name a host that stops under the slow body.
      const addresses = new AddressBook(this.parts.hosts, random, 0);
      const parts = {...this.parts, random, addresses};
      return new SlowCaller(`slow-${index + 1}`, parts);
    });
  }
}
