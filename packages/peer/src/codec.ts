/** Translates between the RPC's messages and the system's own types. */
import {create} from '@bufbuild/protobuf';
import type {MemberNote, MemberState} from '@irisdock/decisions';
import {
  EndpointSign,
  MemberState as WireState,
  MemberNoteSchema,
  PeerMessageSchema,
  type MemberNote as WireNote,
  type PeerMessage,
} from './gen/peer_pb.js';
import type {EndpointHint, Heartbeat, PeerNews} from './peer_news.js';

const NEVER_MS = 4294967295;

const WIRE_STATES: Readonly<Record<MemberState, WireState>> = {
  live: WireState.LIVE,
  leaving: WireState.LEAVING,
  suspect: WireState.SUSPECT,
  dead: WireState.DEAD,
};

const STATES: ReadonlyMap<WireState, MemberState> = new Map([
  [WireState.LIVE, 'live'],
  [WireState.LEAVING, 'leaving'],
  [WireState.SUSPECT, 'suspect'],
  [WireState.DEAD, 'dead'],
]);

const WIRE_SIGNS: Readonly<Record<EndpointHint['sign'], EndpointSign>> = {
  lost: EndpointSign.LOST,
  quiet: EndpointSign.QUIET,
};

const SIGNS: ReadonlyMap<EndpointSign, EndpointHint['sign']> = new Map([
  [EndpointSign.LOST, 'lost'],
  [EndpointSign.QUIET, 'quiet'],
]);

/** Encodes a note. */
export function encodeNote(note: MemberNote): WireNote {
  return create(MemberNoteSchema, {
    ...note,
    sequence: BigInt(note.sequence),
    state: WIRE_STATES[note.state],
    revision: BigInt(note.revision),
  });
}

/** Decodes a note; undefined when its state is one this version lacks. */
export function decodeNote(note: WireNote): MemberNote | undefined {
  const state = STATES.get(note.state);
  if (state === undefined || note.hostId === '') return undefined;
  const {hostId, incarnation, callerAddress, peerAddress} = note;
  return {
    hostId,
    incarnation,
    sequence: Number(note.sequence),
    state,
    callerAddress,
    peerAddress,
    failureDomain: note.failureDomain,
    revision: Number(note.revision),
  };
}

/** Decodes notes, leaving out those that cannot be understood. */
export function decodeNotes(notes: readonly WireNote[]): MemberNote[] {
  return notes.map(decodeNote).filter((note) => note !== undefined);
}

/** Encodes a message of a watch. */
export function encodeNews(news: PeerNews): PeerMessage {
  const {heartbeat} = news;
  return create(PeerMessageSchema, {
    ...(heartbeat === undefined ? {} : {heartbeat: encodeHeartbeat(heartbeat)}),
    members: news.members.map(encodeNote),
    endpoints: news.endpoints.map(({endpoint, sign}) => ({
      endpoint,
      sign: WIRE_SIGNS[sign],
    })),
    changes: [...news.changes],
    loads: news.loads.map((load) => ({
      ...load,
      models: [...load.models],
      adapters: [...load.adapters],
      ageMs: Math.max(0, Math.round(load.ageMs)),
    })),
  });
}

/** Decodes a message of a watch. */
export function decodeNews(message: PeerMessage): PeerNews {
  const {heartbeat} = message;
  return {
    ...(heartbeat === undefined
      ? {}
      : {
          heartbeat: {
            hostId: heartbeat.hostId,
            incarnation: heartbeat.incarnation,
            revision: Number(heartbeat.revision),
            tableAgeMs:
              heartbeat.tableAgeMs === NEVER_MS
                ? Infinity
                : heartbeat.tableAgeMs,
            inFlight: heartbeat.inFlight,
          },
        }),
    members: decodeNotes(message.members),
    endpoints: message.endpoints.flatMap(({endpoint, sign}): EndpointHint[] => {
      const known = SIGNS.get(sign);
      return known === undefined ? [] : [{endpoint, sign: known}];
    }),
    changes: message.changes,
    loads: message.loads,
  };
}

function encodeHeartbeat(heartbeat: Heartbeat): {
  hostId: string;
  incarnation: string;
  revision: bigint;
  tableAgeMs: number;
  inFlight: number;
} {
  const {hostId, incarnation, inFlight} = heartbeat;
  const age = Math.round(Math.min(NEVER_MS, heartbeat.tableAgeMs));
  const revision = BigInt(heartbeat.revision);
  return {hostId, incarnation, revision, tableAgeMs: age, inFlight};
}
