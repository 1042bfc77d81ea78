/**
 * What operators declare for the routes of a deployment, as one whole with a
 * version. Configurations are never merged: a newer one replaces the older.
 */
import * as z from 'zod';

/**
 * How often a request may run: `repeatable` any number of times, `once` at
 * most once; `stream` is answered by a series of events.
 */
export const ROUTE_KINDS = ['repeatable', 'once', 'stream'] as const;

/** A part of a route's requests that goes to one service. */
export const ROUTE_SHARE_SCHEMA = z.object({
  service: z.string(),
  weight: z.number().min(0),
});

/** A route: which requests go to which service, and how they are treated. */
export const ROUTE_SCHEMA = z.object({
  name: z.string(),
  /** The host name that callers send, without a port, in lower case. */
  hostName: z.string(),
  /** Begins and ends with a slash; the longest one that fits is taken. */
  pathPrefix: z.string(),
  kind: z.enum(ROUTE_KINDS),
  shares: z.array(ROUTE_SHARE_SCHEMA).min(1),
  /** The longest time that a request is held, in ms. */
  timeoutMs: z.number(),
  /** The time to an answer, or to a first event, that is aimed at, in ms. */
  targetLatencyMs: z.number(),
  /** The longest pause between events that is aimed at, in ms. */
  targetGapMs: z.number().optional(),
  /** The most endpoints on which one request may run. */
  maxAttempts: z.number(),
  /** 0 is the highest. */
  rank: z.number(),
  /** Whether callers need no key. */
  isPublic: z.boolean(),
  /** Whether a lost stream may go on where it stopped. */
  isResumable: z.boolean(),
});

/** What engines of a service can do; absent for plain services. */
export const ENGINE_SCHEMA = z.object({
  /** Tokens that fit into the memory of one engine. */
  memoryTokens: z.number(),
  /** Whether a running request can be copied to a standby engine. */
  takesBackups: z.boolean(),
});

/** A service: endpoints that answer alike. */
export const SERVICE_SCHEMA = z.object({
  name: z.string(),
  /** Connections that one endpoint takes from all hosts together. */
  connectionLimit: z.number(),
  engine: ENGINE_SCHEMA.optional(),
});

/** A team and the keys by which its callers are known. */
export const TEAM_SCHEMA = z.object({
  name: z.string(),
  keys: z.array(z.string()),
});

/** Bounds on what callers may send. */
export const LIMITS_SCHEMA = z.object({
  maxHeaderBytes: z.number(),
  maxBodyBytes: z.number(),
  headerTimeoutMs: z.number(),
  idleTimeoutMs: z.number(),
});

/** A whole configuration. */
export const SERVING_CONFIGURATION_SCHEMA = z.object({
  /** Rises with each configuration. */
  version: z.number(),
  routes: z.array(ROUTE_SCHEMA),
  services: z.array(SERVICE_SCHEMA),
  /** Absent when callers need no keys at all. */
  teams: z.array(TEAM_SCHEMA).optional(),
  limits: LIMITS_SCHEMA.optional(),
});

/** A route. */
export type ServingRoute = z.infer<typeof ROUTE_SCHEMA>;
/** A service. */
export type ServingService = z.infer<typeof SERVICE_SCHEMA>;
/** What a service's engines can do. */
export type EngineCapabilities = z.infer<typeof ENGINE_SCHEMA>;
/** A team. */
export type ServingTeam = z.infer<typeof TEAM_SCHEMA>;
/** Bounds on what callers may send. */
export type CallerLimits = z.infer<typeof LIMITS_SCHEMA>;
/** A whole configuration. */
export type ServingConfiguration = z.infer<typeof SERVING_CONFIGURATION_SCHEMA>;
