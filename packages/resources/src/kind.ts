/**
 * The one shape of a resource kind: its name, what it is for, the schema of
 * its spec, and which other resources a spec refers to.
 */
import * as z from 'zod';

/** The kinds there are, as paths and files name them. */
export const KIND_NAMES = [
  'service',
  'modelVersion',
  'adapter',
  'team',
  'teamPriority',
  'placementRule',
] as const;
/** The name of a kind. */
export type KindName = (typeof KIND_NAMES)[number];

/** Names of resources: what a path and a file name can carry. */
export const NAME_SCHEMA = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9._-]{0,62}$/,
    'Use 1 to 63 of a-z, 0-9, dot, underscore and dash, first a letter or digit.',
  );

/** A reference from one resource to another. */
export interface Reference {
  readonly kind: KindName;
  readonly name: string;
  /** The field of the spec that holds it. */
  readonly field: string;
}

/** A resource kind. */
export interface Kind<Schema extends z.ZodType = z.ZodType> {
  readonly name: KindName;
  readonly description: string;
  readonly schema: Schema;
  listReferences(spec: z.infer<Schema>): Reference[];
}

/** A kind with its spec's type forgotten, as tables of kinds keep it. */
export interface AnyKind {
  readonly name: KindName;
  readonly description: string;
  readonly schema: z.ZodType;
  listReferences(spec: unknown): Reference[];
}

/** Declares a kind; every file under kinds/ calls this once. */
export function createKind<Schema extends z.ZodType>(
  kind: Kind<Schema>,
): AnyKind & {readonly schema: Schema} {
  return {
    ...kind,
    // Specs reach this only after the kind's own schema has passed them.
    listReferences: (spec) => kind.listReferences(spec as z.infer<Schema>),
  };
}
