/**
 * Whether an endpoint has ended, asked when a run there was lost. A run is lost
 * with its endpoint, or by a connection that was reset or a link that was cut;
 * a whole failure domain may be lost at once. Only an address that refuses
 * connections says that the process there has ended.
 */
import {getSample, type Logger, type Random} from '@irisdock/kernel';
import type {EndpointClient} from '../channels/endpoint_client.js';
import type {GatewayEndpoints} from '../services/gateway_endpoints.js';
import type {CrashRecords} from './crash_records.js';
import type {EndpointRecord} from './endpoint_record.js';

/** What became of an endpoint. */
export type EndpointExitState =
  /** It answers: only the connection was lost. */
  | 'answers'
  /** It has ended, and not all others of its failure domain have. */
  | 'ended'
  /** It has ended together with others of its failure domain. */
  | 'ended-with-domain'
  /** Nothing was heard. */
  | 'unknown';

/** How long an endpoint may take to answer, in ms; one that runs takes a few. */
const ANSWER_MS = 200;
/**
 * Others of the failure domain that are asked. Where nine in ten are lost at
 * once, both have ended in four of five cases; one that is lost for a reason of
 * its own is next to two such in one of a hundred.
 */
const ASKED_NEIGHBORS = 2;
/**
 * A kept connection to an endpoint that has ended may not have been closed yet
 * by this side; the next try opens a new one.
 */
const MAX_TRIES = 4;

/** What the check works with. */
export interface EndpointExitCheckParts {
  readonly client: Pick<EndpointClient, 'admit' | 'send'>;
  readonly reportPath: string;
  readonly endpoints: Pick<GatewayEndpoints, 'listUsable'>;
  readonly crashes: Pick<CrashRecords, 'hasCrashed'>;
  readonly random: Random;
  readonly log: Logger;
}

/** Asks endpoints whether they have ended; those that wait share a question. */
export class EndpointExitCheck {
  private readonly asked = new Map<string, Promise<EndpointExitState>>();

  constructor(private readonly parts: EndpointExitCheckParts) {}

  /** Finds out what became of an endpoint under whose run a connection was lost. */
  async check(endpoint: EndpointRecord): Promise<EndpointExitState> {
    const {instanceId} = endpoint;
    const asked = this.asked.get(instanceId);
    if (asked !== undefined) return asked;
    const question = this.checkOnce(endpoint).finally(() => {
      this.asked.delete(instanceId);
    });
    this.asked.set(instanceId, question);
    return question;
  }

  private async checkOnce(
    endpoint: EndpointRecord,
  ): Promise<EndpointExitState> {
    const state = await this.probe(endpoint);
    if (state !== 'ended') return state;
    const {neighbors, hasCrashed} = this.chooseNeighbors(endpoint);
    const states = await Promise.all(neighbors.map((one) => this.probe(one)));
    const shown = neighbors.map(({instanceId}, place) => {
      return `${instanceId} ${states[place] ?? ''}`;
    });
    this.parts.log.writeInfo('Probed the neighbors of an ended endpoint.', {
      endpoint: endpoint.instanceId,
      neighbors: shown.join(', '),
    });
    // Where others crashed, the last one may have crashed just now as well.
    const isTooFew = hasCrashed && states.length < ASKED_NEIGHBORS;
    if (states.length === 0 || isTooFew) return 'ended';
    // A neighbor that is too busy to answer in time is no evidence of a loss.
    const isDomainLost = states.every((state) => state === 'ended');
    return isDomainLost ? 'ended-with-domain' : 'ended';
  }

  /** Chooses whom to ask, and says whether others of the domain crashed. */
  private chooseNeighbors(endpoint: EndpointRecord): {
    readonly neighbors: readonly EndpointRecord[];
    readonly hasCrashed: boolean;
  } {
    const {endpoints, crashes, random} = this.parts;
    const others: EndpointRecord[] = [];
    let hasCrashed = false;
    for (const other of endpoints.listUsable(endpoint.entry.service)) {
      if (other === endpoint) continue;
      if (other.failureDomain !== endpoint.failureDomain) continue;
      // It ended for a reason of its own, which says nothing of the domain.
      const isCrashed = crashes.hasCrashed(other.instanceId);
      hasCrashed ||= isCrashed;
      if (!isCrashed && other.failureScore === 0) others.push(other);
    }
    const neighbors = getSample(others, ASKED_NEIGHBORS, random);
    return {neighbors, hasCrashed};
  }

  private async probe(
    endpoint: EndpointRecord,
  ): Promise<'answers' | 'ended' | 'unknown'> {
    const signal = AbortSignal.timeout(ANSWER_MS);
    const {client} = this.parts;
    for (let tries = 0; tries < MAX_TRIES && !signal.aborted; tries++) {
      const permit = await client.admit(endpoint, 'aside');
      if (permit.kind === 'held') return 'unknown';
      const answer = await client.send({
        permit,
        requestId: undefined,
        method: 'GET',
        path: this.parts.reportPath,
        lines: [['Host', endpoint.address]],
        body: Buffer.alloc(0),
        signal,
      });
      if (answer.kind === 'answer') {
        answer.message.resume();
        return 'answers';
      }
      if (answer.isRefused) return 'ended';
    }
    return 'unknown';
  }
}
