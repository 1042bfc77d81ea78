/**
 * The service `ownership`: mints request ids and decides who may start a
 * request. docs/design/at_most_once.md.
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

const SERIAL_PART = 2 ** 24;

/** What is known of a request when it arrives. */
export interface IncomingRequest {
  readonly id: ParsedRequestId;
  readonly repeatable: boolean;
  readonly resuming: boolean;
  readonly hasResumeData: boolean;
  readonly ledger: 'ended' | 'running' | undefined;
}

/** What this host may do with a request. */
export type Permission = Extract<OwnerDecision, 'join' | 'start' | 'take_over'>;

/** Why a request is not for this host. */
export interface OwnerRefusal {
  readonly error: KnownError;
  /** The owner's caller address, to send the caller to. */
  readonly location?: string;
}

const REFUSALS: Partial<Record<OwnerDecision, DaemonErrorKind>> = {
  refuse_expired: 'expired_id',
  refuse_forged: 'forged_id',
  refuse_unbound: 'unbound_id',
  refuse_unknown: 'outcome_unknown',
};

/** Mints ids and decides on requests. */
export class Ownership {
  constructor(
    private readonly host: Host,
    private readonly membership: Membership,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly startWithinSeconds: number,
  ) {}

  /** How long the fate of a request is remembered, in milliseconds. */
  get retentionMs(): number {
    // Longer than an id may start, so that none starts after it is forgotten.
    return (this.startWithinSeconds + 60) * 1000;
  }

  /** Mints an id bound to a host and its incarnation. */
  createId(owner: Pick<MemberNote, 'hostId' | 'incarnation'>): string {
    const {hostId, incarnation} = owner;
    const mintedAt = this.getNowSeconds();
    // Any host may mint for any other, so the serial is random.
    const serial =
      this.random.getInt(SERIAL_PART) * SERIAL_PART +
      this.random.getInt(SERIAL_PART);
    const minted = {hostId, incarnation, mintedAt, serial};
    return createRequestId(minted, this.host.signer);
  }

  /** Reads an id that came with a request. */
  parseId(id: string): ParsedRequestId {
    return parseRequestId(id, this.host.signer);
  }

  /** Decides what this host may do with a request. */
  check(arrival: IncomingRequest): Result<Permission, OwnerRefusal> {
    const {hostId, incarnation} = this.host;
    const owner =
      arrival.id.origin === 'minted'
        ? this.membership.view.find(arrival.id.minted.hostId)
        : undefined;
    const ownerLives = owner !== undefined && owner.state !== 'dead';
    const decision = decideOwner({
      ...arrival,
      self: {hostId, incarnation},
      liveOwnerIncarnation: ownerLives ? owner.incarnation : undefined,
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
    description: 'How long after minting a request id may start a request.',
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
