/**
 * What callers, this system and endpoints say to each other in headers, as
 * typed values. An adapter decodes them once; nothing else reads header names.
 */

import type {AdvertisedLimit, PauseRequest} from '@irisdock/decisions';

export type {
  AdvertisedLimit as NamedLimit,
  PauseRequest,
} from '@irisdock/decisions';

/** A part of a prompt that requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a caller says of its request. */
export interface RequestMetadata {
  /** Names this try of the caller; undefined when the caller gave none. */
  readonly requestId: string | undefined;
  readonly key: string | undefined;
  /** How long the caller still waits, in ms; undefined for no bound. */
  readonly remainingMs: number | undefined;
  /** The last event that the caller has; undefined for a new stream. */
  readonly lastEventId: number | undefined;
  /** Tokens of the prompt; 0 when it is not told. */
  readonly promptTokens: number;
  /** The most tokens that may be generated; 0 when it is not told. */
  readonly maxOutputTokens: number;
  /** The caller's guess at the tokens generated; undefined without one. */
  readonly estimatedOutputTokens: number | undefined;
  /** The parts of the prompt in order; the last is the request's own. */
  readonly promptParts: readonly PromptPart[];
}

/** Header lines in order, as pairs of a name and a value. */
export type HeaderLines = readonly (readonly [string, string])[];

/** A run on another engine whose memory this request goes on from. */
export interface KvCacheSource {
  /** The address of the engine that ran it. */
  readonly address: string;
  /** The request id under which it ran there, or the name of its copy. */
  readonly name: string;
}

/** What this system says to an endpoint with a request. */
export interface SendMetadata {
  /** Only the endpoint of this name may run it. */
  readonly endpointId: string;
  /** The team whose key the caller had. */
  readonly team: string | undefined;
  /** How long the endpoint may work, in ms. */
  readonly remainingMs: number | undefined;
  /** The event after which the stream goes on. */
  readonly lastEventId: number | undefined;
  /** Where the engine keeps a copy of the running request. */
  readonly backupAddress: string | undefined;
  readonly kvCacheSource: KvCacheSource | undefined;
}

/** The load that an endpoint told with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** What an endpoint says with an answer. */
export interface ResponseMetadata {
  /** The request that it answers; undefined when it does not say. */
  readonly requestId: string | undefined;
  /** Whether the answer carries the endpoint's signature. */
  readonly isSigned: boolean;
  /** Whether the endpoint says that the request did not run. */
  readonly isNotRun: boolean;
  /** Which endpoint answered; undefined when it does not say. */
  readonly endpointId: string | undefined;
  readonly load: ReportedLoad | undefined;
  /** The limit on requests that it names; undefined when it names none. */
  readonly limit: AdvertisedLimit | undefined;
  /** Whether the endpoint announces that it is leaving. */
  readonly isLeaving: boolean;
  /** The pause that it asks for; undefined when it asks for none. */
  readonly pause: PauseRequest | undefined;
}

/** A short call to an engine about a run or a copy of its memory. */
export interface EngineCall {
  readonly method: 'DELETE' | 'GET' | 'POST';
  readonly path: string;
  readonly body: string;
}

/** Translates the calls by which a run's memory is copied. */
export interface KvCacheCopyCodec {
  /** Asks the engine that runs a request to copy its memory to another. */
  encodeCopy(requestId: string, targetAddress: string): EngineCall;
  /** Gives the name of the copy; undefined when none was made. */
  decodeCopy(status: number, body: string): string | undefined;
  /** Asks the engine that ran the request to free a copy at both ends. */
  encodeDropCopy(copyName: string): EngineCall;
}

/** What an engine reports of itself. */
export interface EngineReport {
  /** When it started by its own clock, in ms since 1970, if it says so. */
  readonly startMs: number | undefined;
}

/** Translates the call by which an engine reports its state. */
export interface EngineReportCodec {
  encodeReport(): EngineCall;
  /** Reads the report of an engine that serves models; undefined for others. */
  decodeReport(status: number, body: string): EngineReport | undefined;
}

/** Translates the call that tells which prompts an engine keeps. */
export interface PromptCacheCodec {
  /** Asks an engine which parts of prompts it keeps. */
  encodeListCached(): EngineCall;
  /**
   * Gives the tokens kept of each part, by the part's id; undefined when the
   * answer cannot be used.
   */
  decodeListCached(
    status: number,
    body: string,
  ): ReadonlyMap<string, number> | undefined;
}

/** Translates between headers and typed terms. */
export interface HeaderCodec {
  /** The path at which an engine reports its state. */
  readonly reportPath: string;
  decodeRequest(lines: HeaderLines): RequestMetadata;
  /** Gives the caller's lines that go to an endpoint, with ours. */
  encodeRequest(callerLines: HeaderLines, terms: SendMetadata): HeaderLines;
  decodeResponse(lines: HeaderLines): ResponseMetadata;
  /** Gives the lines of an endpoint's answer that go to the caller. */
  encodeResponse(answerLines: HeaderLines): HeaderLines;
}
