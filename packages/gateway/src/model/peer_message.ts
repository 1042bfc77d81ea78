/**
 * The datagrams between hosts: group membership, table updates, the load on
 * endpoints, and the state of crashes, rollouts, limits and leases.
 */
import type {
  Crash,
  HostCapacity,
  ReaderReport,
  RolloutPhase,
  GossipMessage,
} from '@irisdock/decisions';
import type {BegunDatagram} from './begun_datagram.js';
import type {
  LimitsDatagram,
  PermitResponseDatagram,
  PermitRequestDatagram,
} from './limit_datagram.js';
import type {DemandDatagram} from './demand_datagram.js';
import type {LoanDatagram} from './loan_datagram.js';
import type {OriginDatagram} from './origin_datagram.js';
import type {
  LeaseResponseDatagram,
  LeaseRequestDatagram,
  LeaseReleaseDatagram,
} from './run_lease_datagram.js';
import type {RolloutReport} from './rollout_order.js';
import type {ReplicatedTable} from './table_store.js';

/**
 * The failure domain of a host, the addresses on which it listens, and what it
 * can carry.
 */
export interface PeerLocation {
  readonly failureDomain: string;
  /** The address for datagrams, as `ip:port`. */
  readonly datagrams: string;
  /** The address for HTTP calls of other hosts, as `ip:port`. */
  readonly tables: string;
  /** The address for callers, as `ip:port`. */
  readonly callers: string;
  /** Undefined for a host that tells none, as one of an older version. */
  readonly capacity?: HostCapacity | undefined;
}

/** The requests and tokens that a host has in progress on one endpoint. */
export interface PeerUsage {
  readonly running: number;
  readonly unreadTokens: number;
  readonly expectedTokens: number;
}

/** The revision of the last change in a host's replicas, by table. */
export type TableRevisions = Readonly<Record<ReplicatedTable, number>>;

/** A message of the membership protocol, with data that every host needs. */
export interface MembershipDatagram {
  readonly kind: 'watch';
  readonly watch: GossipMessage<PeerLocation>;
  readonly revisions: TableRevisions;
  readonly reports: readonly ReaderReport[];
  /** The time of the sender's monotonic clock, in ms. */
  readonly sentAt: number;
}

/**
 * An update of a table that a host has just read from the store: the rows
 * changed after a revision, if any, and the revision of the newest change.
 */
export interface TableUpdateDatagram {
  readonly kind: 'news';
  readonly table: ReplicatedTable;
  /** The revision of the last change before these rows. */
  readonly after: number;
  /** The revision that a replica reaches with these rows. */
  readonly revision: number;
  /** The revision of the newest change of the table. */
  readonly newest: number;
  /** How long ago the store was read, in ms. */
  readonly ageMs: number;
  /** The time of the store's clock when it was read, in ms; absent if unknown. */
  readonly storeNow?: number | undefined;
  /** Whether it was a reader's scheduled poll, not a freshness check. */
  readonly isScheduledPoll: boolean;
  /** The address of a host that has the newest change, as `ip:port`. */
  readonly source: string;
  /** Whether the receiver relays it to the hosts of its group. */
  readonly isForGroup: boolean;
  /** Whether the receiver also relays it to the other groups of its region. */
  readonly isForRegion?: boolean;
  /** The compressed rows (`table_update.ts`); empty for none. */
  readonly packedRows: Uint8Array;
}

/** What a host has in progress on all endpoints, by instance id. */
export interface UsageDatagram {
  readonly kind: 'uses';
  readonly name: string;
  readonly incarnation: number;
  /** Increases with each datagram of this kind within an incarnation. */
  readonly sequence: number;
  readonly uses: Readonly<Record<string, PeerUsage>>;
}

/** What one host knows about the usage of an engine. */
export interface EndpointUsageReport extends PeerUsage {
  readonly instanceId: string;
  /** The decaying number of recent failures; 0 for a healthy engine. */
  readonly failures: number;
}

/** Asks for the usage of engines by all hosts but the one that asks. */
export interface UsageQueryDatagram {
  readonly kind: 'question';
  readonly name: string;
  /** Identifies the query in its reply. */
  readonly number: number;
  readonly instanceIds: readonly string[];
}

/** The reply to a usage query. */
export interface UsageReplyDatagram {
  readonly kind: 'answer';
  readonly number: number;
  readonly uses: readonly EndpointUsageReport[];
}

/** Reports that an engine accepted no connection. */
export interface EndpointUnreachableDatagram {
  readonly kind: 'loss';
  readonly instanceId: string;
}

/** Reports endpoints that crashed while they ran a request, by its content. */
export interface CrashesDatagram {
  readonly kind: 'crashes';
  readonly crashes: readonly Crash[];
}

/** Reports that the recorded crashes of a request content were cleared. */
export interface ContentClearedDatagram {
  readonly kind: 'cleared';
  readonly content: string;
}

/** A host's observations of rollouts, sent to the hosts that decide on them. */
export interface RolloutReportDatagram {
  readonly kind: 'rollout-report';
  readonly name: string;
  readonly incarnation: number;
  /** Increases with each datagram of this kind within an incarnation. */
  readonly sequence: number;
  readonly reports: readonly RolloutReport[];
}

/** The phase of a rollout, sent to all hosts. */
export interface RolloutPhaseDatagram {
  readonly kind: 'rollout-phase';
  readonly service: string;
  /** The revision of the order. */
  readonly revision: number;
  readonly phase: RolloutPhase;
}

/** A datagram about limits, permits or leases, which one host grants others. */
export type GrantDatagram =
  | LeaseResponseDatagram
  | LeaseRequestDatagram
  | LeaseReleaseDatagram
  | LimitsDatagram
  | PermitResponseDatagram
  | PermitRequestDatagram;

/** Any datagram between hosts. */
export type PeerDatagram =
  | BegunDatagram
  | UsageReplyDatagram
  | ContentClearedDatagram
  | CrashesDatagram
  | DemandDatagram
  | GrantDatagram
  | LoanDatagram
  | OriginDatagram
  | EndpointUnreachableDatagram
  | TableUpdateDatagram
  | UsageQueryDatagram
  | RolloutPhaseDatagram
  | RolloutReportDatagram
  | UsageDatagram
  | MembershipDatagram;
