/**
 * A caller: asks which hosts to use, keeps the answer for a while and its
 * connections for longer, and comes again as the platform's callers do.
 */
import {Agent, request, type IncomingMessage} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {splitPlace, type Random} from '@irisdock/kernel';
import {
  createCallerHeaders,
  HOST_NAME,
} from '@irisdock/users-platform/fixtures';
import {AddressBook} from './address_book.js';
import type {HostProcess} from './host_process.js';
import {STREAM_MS} from './end_witness.js';
import {
  chooseTarget,
  isRunOnce,
  isStream,
  type RequestKind,
} from './request_kinds.js';
import type {Attempt, AttemptEnd, Witness} from './witness.js';

/** What a caller works with. */
export interface CallerParts {
  readonly hosts: readonly HostProcess[];
  readonly witness: Witness;
  readonly random: Random;
  /** What it sends, each as often as it stands here. */
  readonly kinds: readonly RequestKind[];
  /** What each of its requests says; absent when each says another. */
  readonly body?: string;
  /** Whether it pauses longer and longer while no host is named; it does if absent. */
  readonly backsOff?: boolean;
  /** Gives the newest version of the configuration. */
  getVersion(): number;
}

/** Callers keep an answer longer than they are told, in ms. */
const KEEP_MS = 3000;
const CONNECT_MS = 1000;
const CALL_MS = 3000;
/** A host has so much longer than the time it was given to say so, in ms. */
const PATIENCE_MS = 1500;
/** Silence after which a caller gives a stream up, in ms. */
const SILENCE_MS = 4000;
/** Pauses after a stream and after a call, which ends sooner, in ms. */
const STREAM_PAUSE_MS = 40;
const CALL_PAUSE_MS = 80;
/** The pause after a failure that names none, in ms. */
const FAILED_PAUSE_MS = 500;
const PROMPT_TOKENS = 4000;
const MAX_ATTEMPTS = 4;
/** Hosts that are gone are no attempts at a stream that has begun, so often. */
const MAX_GONE_HOSTS = 16;
/** The pause of such a stream's caller after a host that is gone, in ms. */
const GONE_PAUSE_MS = 200;
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([429, 503]);
const OK_STATUS = 200;

/** One caller. */
export class Caller {
  private readonly agent = new Agent({keepAlive: true, noDelay: true});
  private readonly controller = new AbortController();
  private readonly addresses: AddressBook;
  private count = 0;

  constructor(
    private readonly name: string,
    private readonly parts: CallerParts,
  ) {
    const {hosts, random, backsOff} = parts;
    this.addresses = new AddressBook(hosts, random, KEEP_MS, backsOff);
  }

  /** Sends requests until it is stopped. */
  async run(): Promise<void> {
    const {signal} = this.controller;
    const {kinds, random} = this.parts;
    while (!signal.aborted) {
      const at = random.getInt(kinds.length);
      const kind = kinds[at] ?? 'repeatable';
      await this.sendRequest(kind);
      await sleep(isStream(kind) ? STREAM_PAUSE_MS : CALL_PAUSE_MS);
    }
  }

  /** Begins no more requests. */
  stop(): void {
    this.controller.abort();
  }

  /** Closes the connections that are kept. */
  close(): void {
    this.agent.destroy();
  }

  /** Sends one request, again where that is right; true when it is served. */
  async sendRequest(kind: RequestKind): Promise<boolean> {
    const {witness} = this.parts;
    const body = this.parts.body ?? `${this.name}-${this.count}`;
    let lastEventId = 0;
    let resumes: string | undefined;
    let goneHosts = 0;
    for (let tries = 0; tries < MAX_ATTEMPTS; tries++) {
      const address = await this.addresses.choose();
      const isBegun = resumes !== undefined && goneHosts < MAX_GONE_HOSTS;
      if (address === undefined) {
        if (isBegun) tries--;
        goneHosts++;
        continue;
      }
      const attempt = this.createAttempt(kind, address, {
        body,
        lastEventId,
        resumes,
      });
      witness.recordAttempt(attempt);
      const end = await this.sendAttempt(attempt, address);
      witness.recordEnd(attempt, end);
      if (end.kind === 'answer' && end.status === OK_STATUS && end.isWhole) {
        return true;
      }
      if (end.kind === 'answer') await sleep(getPauseMs(end));
      else {
        this.addresses.drop(address);
        if (isBegun && !end.wasSent) {
          tries--;
          goneHosts++;
          await sleep(GONE_PAUSE_MS);
        }
      }
      if (!isRepeatRight(kind, end)) return false;
      if (isStream(kind) && end.kind === 'answer') {
        const events = countEvents(end);
        lastEventId += events;
        if (events > 0) resumes ??= attempt.attemptId;
      }
    }
    return false;
  }

  private createAttempt(
    kind: RequestKind,
    address: string,
    rest: Pick<Attempt, 'body' | 'lastEventId' | 'resumes'>,
  ): Attempt {
    this.count++;
    const {hosts} = this.parts;
    const host = hosts.find((one) => one.callerAddress === address);
    return {
      attemptId: `${this.name}-${this.count}`,
      kind,
      host: host?.name ?? address,
      startedAt: performance.now(),
      ...rest,
    };
  }

  private async sendAttempt(
    attempt: Attempt,
    address: string,
  ): Promise<AttemptEnd> {
    const {kind, body, attemptId, lastEventId, resumes} = attempt;
    const {path, key} = chooseTarget(kind, this.parts.getVersion());
    const remainingMs = isStream(kind) ? STREAM_MS : CALL_MS;
    const head = createCallerHeaders({
      hostName: HOST_NAME,
      key,
      attemptId,
      remainingMs,
      ...(isStream(kind) ? {promptTokens: PROMPT_TOKENS} : {}),
      ...(lastEventId > 0 ? {lastEventId} : {}),
      ...(resumes === undefined ? {} : {resumes}),
    });
    return new Promise((resolve) => {
      let wasSent = false;
      let ownPort = 0;
      const message = request({
        ...splitPlace(address),
        method: 'POST',
        path,
        agent: this.agent,
        headers: {...head, 'Content-Length': Buffer.byteLength(body)},
        signal: AbortSignal.timeout(remainingMs + PATIENCE_MS),
      });
      const opening = setTimeout(() => message.destroy(), CONNECT_MS);
      message.once('socket', (socket) => {
        const markSent = (): void => {
          clearTimeout(opening);
          // A request on a kept connection may cross its close.
          wasSent = !message.reusedSocket;
          ownPort = socket.localPort ?? 0;
        };
        if (socket.connecting) socket.once('connect', markSent);
        else markSent();
      });
      message.on('error', () => {
        clearTimeout(opening);
        // A link takes connections in the place of a host that is gone.
        const {hosts} = this.parts;
        const host = hosts.find((one) => one.callerAddress === address);
        const isGone = host?.callerLink.refusedPorts.has(ownPort) === true;
        resolve({kind: 'cut', wasSent: wasSent && !isGone});
      });
      message.on('response', (answer) => {
        resolve(readAnswer(answer));
      });
      message.end(body);
    });
  }
}

async function readAnswer(answer: IncomingMessage): Promise<AttemptEnd> {
  let body = '';
  answer.setTimeout(SILENCE_MS, () => answer.destroy());
  answer.setEncoding('utf8');
  answer.on('data', (text: string) => {
    body += text;
  });
  answer.on('error', () => undefined);
  await new Promise((resolve) => answer.once('close', resolve));
  return {
    kind: 'answer',
    status: answer.statusCode ?? 0,
    body,
    isWhole: answer.complete,
    retryAfter: answer.headers['retry-after'],
  };
}

/** A request that may run once comes again only when it has not run. */
function isRepeatRight(kind: RequestKind, end: AttemptEnd): boolean {
  if (!isRunOnce(kind)) return true;
  return end.kind === 'answer' && NOT_RUN_STATUSES.has(end.status);
}

/** How long a caller waits after an answer that it cannot use, in ms. */
function getPauseMs(end: AttemptEnd & {readonly kind: 'answer'}): number {
  if (end.retryAfter !== undefined) return Number(end.retryAfter) * 1000;
  return end.status === OK_STATUS ? 0 : FAILED_PAUSE_MS;
}

function countEvents(end: AttemptEnd & {readonly kind: 'answer'}): number {
  if (end.status !== OK_STATUS) return 0;
  return end.body.split('\n\n').length - 1;
}
