/**
 * The metadata that callers, hosts and endpoints exchange in HTTP headers, as
 * typed values. The codecs of an adapter translate it; no other code reads
 * header names.
 */

import type {AdvertisedLimit, EventId, PauseRequest} from '@irisdock/decisions';

export type {AdvertisedLimit, PauseRequest} from '@irisdock/decisions';

/** A part of a prompt that may be shared by several requests. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a caller states about its request. */
export interface RequestMetadata {
  /** Identifies this attempt of the caller; undefined when not given. */
  readonly requestId: string | undefined;
  /** The API key of the caller's team; undefined when not given. */
  readonly key: string | undefined;
  /** The time until the caller's deadline, in ms; undefined without one. */
  readonly remainingMs: number | undefined;
  /** The last event that the caller received; undefined for a new stream. */
  readonly lastEventId: EventId | undefined;
  /**
   * The id of the caller's attempt that brought the first event of the stream
   * that this request resumes; undefined when not given.
   */
  readonly resumedRequestId: string | undefined;
  /** The number of tokens of the prompt; 0 when unknown. */
  readonly promptTokens: number;
  /** The maximum number of tokens to generate; 0 when unknown. */
  readonly maxOutputTokens: number;
  /** The caller's estimate of the tokens generated; undefined without one. */
  readonly estimatedOutputTokens: number | undefined;
  /** The parts of the prompt in order; the last is not shared. */
  readonly promptParts: readonly PromptPart[];
  /** A header with one value that was given several; undefined if none was. */
  readonly conflictingHeader: string | undefined;
}

/** Header lines in order, as pairs of a name and a value. */
export type HeaderLines = readonly (readonly [string, string])[];

/** A run on another engine from whose KV cache this request continues. */
export interface KvCacheSource {
  /** The address of the engine that ran it. */
  readonly address: string;
  /** The id of the request that ran there, or the name of the replica. */
  readonly name: string;
}

/** What a host states to an endpoint when it sends a request. */
export interface SendMetadata {
  /** The only endpoint that may run the request. */
  readonly endpointId: string;
  /** The team to which the caller's key belongs. */
  readonly team: string | undefined;
  /** The time that the endpoint has for the request, in ms. */
  readonly remainingMs: number | undefined;
  /** The event after which the stream resumes. */
  readonly lastEventId: EventId | undefined;
  /** The address to which the engine copies the KV cache while it runs. */
  readonly backupAddress: string | undefined;
  readonly kvCacheSource: KvCacheSource | undefined;
}

/** What a host states to another one when it relays a request. */
export interface RelayMetadata {
  /** The only host that may serve the request. */
  readonly hostName: string;
  /** The time that the host has for the request, in ms. */
  readonly remainingMs: number;
  /** The event after which the stream resumes. */
  readonly lastEventId: EventId | undefined;
  /** The caller's attempt that brought the first event of a begun stream. */
  readonly resumedRequestId: string | undefined;
}

/** The load that an endpoint reported with a response. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** What an endpoint states with a response. */
export interface ResponseMetadata {
  /** The id of the request that was answered; undefined when not given. */
  readonly requestId: string | undefined;
  /** A header with one value that was given several; undefined if none was. */
  readonly conflictingHeader: string | undefined;
  /** Whether the response has the endpoint's signature. */
  readonly isSigned: boolean;
  /** Whether the endpoint states that the request did not run. */
  readonly isNotRun: boolean;
  /** The endpoint that responded; undefined when not given. */
  readonly endpointId: string | undefined;
  readonly load: ReportedLoad | undefined;
  /** The rate limit that it announces; undefined when it announces none. */
  readonly limit: AdvertisedLimit | undefined;
  /** Whether the endpoint announces that it is leaving. */
  readonly isLeaving: boolean;
  /** The pause that it requests; undefined when it requests none. */
  readonly pause: PauseRequest | undefined;
}

/** A short HTTP call to an engine about its state, a run or a KV cache copy. */
export interface EngineCall {
  readonly method: 'DELETE' | 'GET' | 'POST';
  readonly path: string;
  readonly body: string;
}

/** Encodes and decodes the calls that copy a run's KV cache. */
export interface KvCacheCopyCodec {
  /** The call to copy the KV cache of a running request to another engine. */
  encodeCopy(requestId: string, targetAddress: string): EngineCall;
  /** Gives the name of the copy; undefined when none was made. */
  decodeCopy(status: number, body: string): string | undefined;
  /** The call to free a copy, to the engine that ran the request. */
  encodeDropCopy(copyName: string): EngineCall;
}

/** The state that an engine reports. */
export interface EngineReport {
  /** When it started by its own clock, in ms since 1970, if known. */
  readonly startMs: number | undefined;
}

/** Encodes and decodes the call for an engine's state. */
export interface EngineReportCodec {
  encodeReport(): EngineCall;
  /** Decodes the report of a model engine; undefined for other servers. */
  decodeReport(status: number, body: string): EngineReport | undefined;
}

/** Encodes and decodes the call that lists an engine's prompt cache. */
export interface PromptCacheCodec {
  /** The call for the prompt parts that an engine has cached. */
  encodeListCached(): EngineCall;
  /**
   * Gives the number of cached tokens of each prompt part, by its id; undefined
   * when the response cannot be used.
   */
  decodeListCached(
    status: number,
    body: string,
  ): ReadonlyMap<string, number> | undefined;
}

/** Translates between headers and typed metadata. */
export interface HeaderCodec {
  /** The path at which an engine reports its state. */
  readonly reportPath: string;
  /**
   * Whether a header, by its name in lower case, concerns the whole exchange,
   * even if the Connection header of its message lists it.
   */
  isEndToEnd(name: string): boolean;
  decodeRequest(lines: HeaderLines): RequestMetadata;
  /**
   * Gives the header lines to an endpoint: the metadata's, and those of the
   * caller without its connection's.
   */
  encodeRequest(callerLines: HeaderLines, terms: SendMetadata): HeaderLines;
  /**
   * Gives the header lines to another host that serves the request, from those
   * of the caller without its connection's.
   */
  encodeRelay(callerLines: HeaderLines, metadata: RelayMetadata): HeaderLines;
  decodeResponse(lines: HeaderLines): ResponseMetadata;
  /**
   * Gives the header lines of an endpoint's response that go to the caller, from
   * those without its connection's.
   */
  encodeResponse(answerLines: HeaderLines): HeaderLines;
}
