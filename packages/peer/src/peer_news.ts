/** What hosts tell each other, in the system's own types. */
import type {MemberNote} from '@irisdock/decisions';

/** A sign of life with what changes often. */
export interface Heartbeat {
  readonly hostId: string;
  readonly incarnation: string;
  /** The revision in force on the sender. */
  readonly revision: number;
  /** Milliseconds since the table was heard; Infinity for never. */
  readonly tableAgeMs: number;
  readonly inFlight: number;
}

/** A hint that an endpoint was lost, or answers but makes no tokens. */
export interface EndpointHint {
  readonly endpoint: string;
  readonly sign: 'lost' | 'quiet';
}

/** A load report that a host got from an endpoint itself. */
export interface LoadHint {
  readonly endpoint: string;
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  readonly ageMs: number;
}

/** One message of a watch. */
export interface PeerNews {
  readonly heartbeat?: Heartbeat;
  readonly members: readonly MemberNote[];
  readonly endpoints: readonly EndpointHint[];
  /** Changes of configuration as JSON. */
  readonly changes: readonly string[];
  readonly loads: readonly LoadHint[];
}

/** A host's configuration after a revision. */
export interface ConfigurationPart {
  readonly revision: number;
  readonly changes: readonly string[];
  /** A snapshot as JSON when the changes are forgotten, else empty. */
  readonly snapshot: string;
}

/** What a host answers to its peers. */
export interface PeerHandler {
  /** Gives news until the signal is aborted. */
  watch(watcher: MemberNote, signal: AbortSignal): AsyncIterable<PeerNews>;
  /** Takes notes; gives what is known better. */
  applyTold(notes: readonly MemberNote[]): readonly MemberNote[];
  getConfiguration(afterRevision: number): ConfigurationPart;
}
