/**
 * The service `ownership`: creates request ids and decides which host may start
 * a request. docs/design/at_most_once.md.
 */
import {
  createService,
  createServiceKey,
  type Clock,
  type KnownError,
  type Random,
} from '@irisdock/kernel';
import {
  createRequestId,
  decideOwner,
  parseRequestId,
  type MemberNote,
  type OwnerDecision,
  type ParsedRequestId,
} from '@irisdock/decisions';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {DAEMON_ERRORS, type DaemonErrorKind} from '../errors.js';
import {HOST, type Host} from './host.js';
import {MEMBERSHIP, type Membership} from './membership.js';

// A serial is 48 random bits, drawn as two halves of 24 bits.
const SERIAL_HALF_RANGE = 2 ** 24;

/** What is known about a request when it arrives. */
export interface IncomingRequest {
  readonly id: ParsedRequestId;
  readonly repeatable: boolean;
  readonly resuming: boolean;
  readonly hasResumeData: boolean;
  readonly ledger: 'ended' | 'running' | undefined;
}

/** A decision that lets this host handle a request. */
export type Permission = Extract<OwnerDecision, 'join' | 'start' | 'take_over'>;

/** Why this host does not handle a request. */
export interface OwnerRefusal {
  readonly error: KnownError;
  /** The owner's caller address, for a redirect. */
  readonly location?: string;
}

const REFUSALS: Partial<Record<OwnerDecision, DaemonErrorKind>> = {
  refuse_expired: 'expired_id',
  refuse_forged: 'forged_id',
  refuse_unbound: 'unbound_id',
  refuse_unknown: 'outcome_unknown',
};

/** Creates request ids and checks the ids of incoming requests. */
export class Ownership {
  constructor(
    private readonly host: Host,
    private readonly membership: Membership,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly startWithinSeconds: number,
  ) {}

  /** How long the outcome of a request is remembered, in milliseconds. */
  get retentionMs(): number {
    // Exceeds the period in which an id may start a request, so that no request
    // starts again after its outcome has been forgotten.
    return (this.startWithinSeconds + 60) * 1000;
  }

  /** Creates an id that is bound to a host and its incarnation. */
  createId(owner: Pick<MemberNote, 'hostId' | 'incarnation'>): string {
    const {hostId, incarnation} = owner;
    const mintedAt = this.getNowSeconds();
    // The serial is random because any host may create ids for any other.
    const serial =
      this.random.getInt(SERIAL_HALF_RANGE) * SERIAL_HALF_RANGE +
      this.random.getInt(SERIAL_HALF_RANGE);
    const minted = {hostId, incarnation, mintedAt, serial};
    return createRequestId(minted, this.host.signer);
  }

  /** Parses and verifies the id of an incoming request. */
  parseId(id: string): ParsedRequestId {
    return parseRequestId(id, this.host.signer);
  }

  /** Decides whether and how this host may handle a request. */
  check(request: IncomingRequest): Result<Permission, OwnerRefusal> {
    const {hostId, incarnation} = this.host;
    const owner =
      request.id.origin === 'minted'
        ? this.membership.view.find(request.id.minted.hostId)
        : undefined;
    const isOwnerLive = owner !== undefined && owner.state !== 'dead';
    const decision = decideOwner({
      ...request,
      self: {hostId, incarnation},
      liveOwnerIncarnation: isOwnerLive ? owner.incarnation : undefined,
      nowSeconds: this.getNowSeconds(),
      startWithinSeconds: this.startWithinSeconds,
    });
    if (decision === 'redirect' && owner !== undefined) {
      const {callerAddress: address} = owner;
      const error = DAEMON_ERRORS.create('owner_elsewhere', {address});
      return err({error, location: address});
    }
    if (decision === 'join' || decision === 'start') return ok(decision);
    if (decision === 'take_over') return ok(decision);
    const kind = REFUSALS[decision] ?? 'outcome_unknown';
    return err({error: DAEMON_ERRORS.create(kind)});
  }

  private getNowSeconds(): number {
    return Math.floor(this.clock.getWallNow() / 1000);
  }
}

/** The key of the service. */
export const OWNERSHIP = createServiceKey<Ownership>('ownership');

const SETTINGS = z.object({
  startWithinSeconds: z.coerce.number().int().min(1).default(300).meta({
    unit: 's',
    description:
      'How long after its creation a request id may start a request.',
  }),
});

/** Declares the service. */
export const OWNERSHIP_SERVICE = createService({
  key: OWNERSHIP,
  settings: SETTINGS,
  needs: [HOST, MEMBERSHIP],
  create(context, settings) {
    const api = new Ownership(
      context.find(HOST),
      context.find(MEMBERSHIP),
      context.clock,
      context.random,
      settings.startWithinSeconds,
    );
    return {api};
  },
});
