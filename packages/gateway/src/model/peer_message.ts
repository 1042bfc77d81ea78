/**
 * What hosts tell each other by datagrams: that they are there, changes of
 * tables that were just read, and what they have running.
 */
import type {
  Crash,
  ReaderReport,
  RolloutPhase,
  GossipMessage,
} from '@irisdock/decisions';
import type {
  LimitsDatagram,
  PermitResponseDatagram,
  PermitRequestDatagram,
} from './limit_datagram.js';
import type {
  LeaseResponseDatagram,
  LeaseRequestDatagram,
  LeaseReleaseDatagram,
} from './run_lease_datagram.js';
import type {RolloutReport} from './rollout_order.js';
import type {ReplicatedTable} from './table_store.js';

/** Where a host can be reached by other hosts and by callers. */
export interface PeerLocation {
  readonly failureDomain: string;
  /** Where it takes datagrams, as `ip:port`. */
  readonly datagrams: string;
  /** Where it answers other hosts, as `ip:port`. */
  readonly tables: string;
  /** Where it takes callers, as `ip:port`. */
  readonly callers: string;
}

/** What a host has at one endpoint. */
export interface PeerUsage {
  readonly running: number;
  readonly unreadTokens: number;
  readonly expectedTokens: number;
}

/** The highest revision of a change that a host knows, by table. */
export type TableRevisions = Readonly<Record<ReplicatedTable, number>>;

/** By which hosts keep track of each other. */
export interface MembershipDatagram {
  readonly kind: 'watch';
  readonly watch: GossipMessage<PeerLocation>;
  readonly revisions: TableRevisions;
  readonly reports: readonly ReaderReport[];
  /** The sender's steady clock, in ms. */
  readonly sentAt: number;
}

/**
 * What the store has just shown of a table: changes that follow on a known one,
 * if there are any, and which change is the newest.
 */
export interface TableUpdateDatagram {
  readonly kind: 'news';
  readonly table: ReplicatedTable;
  /** The highest revision of a change before these. */
  readonly after: number;
  readonly revision: number;
  /** The highest revision of a change that there is. */
  readonly newest: number;
  /** How long ago that was so, in ms. */
  readonly ageMs: number;
  /** Whether a reader of the store tells, and not a host that asked out of turn. */
  readonly isScheduledPoll: boolean;
  /** Where the newest change is to be had, as `ip:port`. */
  readonly source: string;
  /** Whether who takes it passes it on to its group. */
  readonly isForGroup: boolean;
  /** The rows, packed (`table_news.ts`); empty for none. */
  readonly packedRows: Uint8Array;
}

/** What a host has running, by the instance id of the endpoint. */
export interface UsageDatagram {
  readonly kind: 'uses';
  readonly name: string;
  readonly incarnation: number;
  /** Rises with each datagram of this kind in one life of the host. */
  readonly sequence: number;
  readonly uses: Readonly<Record<string, PeerUsage>>;
}

/** What one host knows of what runs on an engine. */
export interface EndpointUsageReport extends PeerUsage {
  readonly instanceId: string;
  /** Recent failures, fading; 0 for a sound engine. */
  readonly failures: number;
}

/** Asks what runs on engines, but for what the asking host has there. */
export interface UsageQueryDatagram {
  readonly kind: 'question';
  readonly name: string;
  /** Told again in the answer. */
  readonly number: number;
  readonly instanceIds: readonly string[];
}

/** The answer to a question. */
export interface UsageReplyDatagram {
  readonly kind: 'answer';
  readonly number: number;
  readonly uses: readonly EndpointUsageReport[];
}

/** Says that an engine took no connection. */
export interface EndpointUnreachableDatagram {
  readonly kind: 'loss';
  readonly instanceId: string;
}

/** Endpoints that ended while they ran some contents. */
export interface CrashesDatagram {
  readonly kind: 'crashes';
  readonly crashes: readonly Crash[];
}

/** Says that a content ends no endpoints, whatever was told before. */
export interface ContentClearedDatagram {
  readonly kind: 'cleared';
  readonly content: string;
}

/** What a host saw of roll-outs, to those that decide on them. */
export interface RolloutReportDatagram {
  readonly kind: 'rollout-report';
  readonly name: string;
  readonly incarnation: number;
  /** Rises with each datagram of this kind in one life of the host. */
  readonly sequence: number;
  readonly reports: readonly RolloutReport[];
}

/** The phase of a roll-out, to all hosts. */
export interface RolloutPhaseDatagram {
  readonly kind: 'rollout-phase';
  readonly service: string;
  /** The revision of the order. */
  readonly revision: number;
  readonly phase: RolloutPhase;
}

/** A datagram about what one host grants to the others. */
export type GrantDatagram =
  | LeaseResponseDatagram
  | LeaseRequestDatagram
  | LeaseReleaseDatagram
  | LimitsDatagram
  | PermitResponseDatagram
  | PermitRequestDatagram;

/** A datagram. */
export type PeerDatagram =
  | UsageReplyDatagram
  | ContentClearedDatagram
  | CrashesDatagram
  | GrantDatagram
  | EndpointUnreachableDatagram
  | TableUpdateDatagram
  | UsageQueryDatagram
  | RolloutPhaseDatagram
  | RolloutReportDatagram
  | UsageDatagram
  | MembershipDatagram;
