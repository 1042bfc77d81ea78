/** Resources, and the changes that lead from one revision to the next. */
import * as z from 'zod';
import {KIND_NAMES, NAME_SCHEMA} from './kind.js';

/** A resource as it is kept and shown. */
export const RESOURCE_SCHEMA = z.object({
  kind: z.enum(KIND_NAMES),
  name: NAME_SCHEMA,
  /** The revision that last changed it. */
  version: z.number().int().min(1),
  spec: z.unknown(),
});
/** A resource as it is kept and shown. */
export type Resource = z.infer<typeof RESOURCE_SCHEMA>;

/** One accepted change; also a line of the audit trail. */
export const CHANGE_SCHEMA = z.object({
  revision: z.number().int().min(1),
  operationId: z.string(),
  /** Who asked for it. */
  actor: z.string(),
  /** When it was accepted, in milliseconds since 1970. */
  at: z.number(),
  action: z.enum(['put', 'delete']),
  kind: z.enum(KIND_NAMES),
  name: NAME_SCHEMA,
  /** The resource's version before; 0 when it was absent. */
  fromVersion: z.number().int().min(0),
  /** The version after; 0 when it was deleted. */
  toVersion: z.number().int().min(0),
  spec: z.unknown(),
});
/** One accepted change. */
export type Change = z.infer<typeof CHANGE_SCHEMA>;

/** Everything in force at one revision. */
export const SNAPSHOT_SCHEMA = z.object({
  revision: z.number().int().min(0),
  resources: z.array(RESOURCE_SCHEMA),
});
/** Everything in force at one revision. */
export type Snapshot = z.infer<typeof SNAPSHOT_SCHEMA>;

/** Gives the key that a resource has among all kinds. */
export function getResourceKey(kind: string, name: string): string {
  return `${kind}/${name}`;
}
