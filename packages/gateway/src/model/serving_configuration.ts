/**
 * The configuration of a deployment's routes, services and teams, as declared
 * by operators. It has one version as a whole. Configurations are never merged:
 * a newer one replaces the older.
 */
import * as z from 'zod';

/**
 * How often a request may run: a `repeatable` one any number of times, a `once`
 * one at most once; a `stream` is answered by a series of events.
 */
export const ROUTE_KINDS = ['repeatable', 'once', 'stream'] as const;

/** The share of a route's requests that goes to one service, by weight. */
export const ROUTE_SHARE_SCHEMA = z.object({
  service: z.string(),
  weight: z.number().min(0),
});

/** A route: which requests go to which services, and how they are handled. */
export const ROUTE_SCHEMA = z.object({
  name: z.string(),
  /** The host name in the request, without a port, in lower case. */
  hostName: z.string(),
  /** Begins and ends with a slash; the longest matching prefix applies. */
  pathPrefix: z.string(),
  kind: z.enum(ROUTE_KINDS),
  shares: z.array(ROUTE_SHARE_SCHEMA).min(1),
  /** The time after which a request is given up, in ms. */
  timeoutMs: z.number(),
  /** The target for the time to the response or the first event, in ms. */
  targetLatencyMs: z.number(),
  /** The target for the longest pause between events, in ms. */
  targetGapMs: z.number().optional(),
  /** The maximum number of endpoints on which one request may run. */
  maxAttempts: z.number(),
  /** The priority; 0 is the highest. */
  rank: z.number(),
  /** Whether callers need no key. */
  isPublic: z.boolean(),
  /** Whether a lost stream may be resumed where it stopped. */
  isResumable: z.boolean(),
});

/** The capabilities of a service's engines; absent for plain services. */
export const ENGINE_SCHEMA = z.object({
  /** The number of tokens that fit into the memory of one engine. */
  memoryTokens: z.number(),
  /** Whether a running request's KV cache can be copied to another engine. */
  takesBackups: z.boolean(),
  /** The number of streams that one engine runs at a time. */
  slots: z.number().optional(),
});

/** How a service may be scaled; absent for services of a fixed size. */
export const SCALING_SCHEMA = z.object({
  /** The least and the most endpoints of both kinds in a failure domain. */
  minimum: z.number(),
  maximum: z.number(),
  /** The time from an order to the readiness of its endpoints, in ms. */
  bootMs: z.number(),
  /**
   * The price of a spot endpoint relative to an ordinary one; absent when there
   * is no spot capacity.
   */
  spotPrice: z.number().optional(),
  /** The relative price of an ordinary endpoint, by failure domain. */
  prices: z.record(z.string(), z.number()),
});

/** A service: a set of interchangeable endpoints. */
export const SERVICE_SCHEMA = z.object({
  name: z.string(),
  /** The connections that one endpoint accepts from all hosts together. */
  connectionLimit: z.number(),
  engine: ENGINE_SCHEMA.optional(),
  scaling: SCALING_SCHEMA.optional(),
});

/** A team and the API keys of its callers. */
export const TEAM_SCHEMA = z.object({
  name: z.string(),
  keys: z.array(z.string()),
});

/** Limits on the requests of callers. */
export const LIMITS_SCHEMA = z.object({
  maxHeaderBytes: z.number(),
  maxBodyBytes: z.number(),
  headerTimeoutMs: z.number(),
  idleTimeoutMs: z.number(),
});

/** A whole configuration. */
export const SERVING_CONFIGURATION_SCHEMA = z.object({
  /** Increases with each configuration. */
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
/** The capabilities of a service's engines. */
export type EngineCapabilities = z.infer<typeof ENGINE_SCHEMA>;
/** How a service may be scaled. */
export type ServiceScaling = z.infer<typeof SCALING_SCHEMA>;
/** A team. */
export type ServingTeam = z.infer<typeof TEAM_SCHEMA>;
/** Limits on the requests of callers. */
export type CallerLimits = z.infer<typeof LIMITS_SCHEMA>;
/** A whole configuration. */
export type ServingConfiguration = z.infer<typeof SERVING_CONFIGURATION_SCHEMA>;
