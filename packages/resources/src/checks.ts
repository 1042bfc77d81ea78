/** Checks of a resource on its own and against the others. */
import type {KnownError} from '@irisdock/kernel';
import {err, ok, type Result} from 'neverthrow';
import type * as z from 'zod';
import {RESOURCE_ERRORS} from './errors.js';
import {KIND_NAMES, NAME_SCHEMA, type KindName} from './kind.js';
import {isKindName, KINDS} from './kind_table.js';
import {getResourceKey, type Resource} from './resource.js';

/** The resources that a change is checked against. */
export interface ResourceReader {
  get(kind: KindName, name: string): Resource | undefined;
  list(): Iterable<Resource>;
}

/** Checks a kind's name. */
export function checkKind(kind: string): Result<KindName, KnownError> {
  if (isKindName(kind)) return ok(kind);
  const kinds = KIND_NAMES.join(', ');
  return err(RESOURCE_ERRORS.create('unknown_kind', {kind, kinds}));
}

/** Checks a resource's name. */
export function checkName(name: string): Result<string, KnownError> {
  const parsed = NAME_SCHEMA.safeParse(name);
  if (parsed.success) return ok(name);
  const detail = parsed.error.issues[0]?.message ?? '';
  return err(RESOURCE_ERRORS.create('bad_name', {name, detail}));
}

/** Checks a spec and fills its defaults in. */
export function checkSpec(
  kind: KindName,
  name: string,
  spec: unknown,
): Result<unknown, KnownError> {
  const parsed = KINDS[kind].schema.safeParse(spec);
  if (parsed.success) return ok(parsed.data);
  const detail = formatSpecFaults(parsed.error);
  return err(RESOURCE_ERRORS.create('bad_spec', {kind, name, detail}));
}

/** Checks that everything a put refers to is there. */
export function checkPut(
  reader: ResourceReader,
  kind: KindName,
  name: string,
  spec: unknown,
): Result<void, KnownError> {
  for (const reference of KINDS[kind].listReferences(spec)) {
    if (reader.get(reference.kind, reference.name) !== undefined) continue;
    const target = getResourceKey(reference.kind, reference.name);
    const {field} = reference;
    return err(
      RESOURCE_ERRORS.create('missing_reference', {kind, name, target, field}),
    );
  }
  return ok();
}

/** Checks that nothing refers to what is deleted. */
export function checkDelete(
  reader: ResourceReader,
  kind: KindName,
  name: string,
): Result<void, KnownError> {
  for (const resource of reader.list()) {
    const references = KINDS[resource.kind].listReferences(resource.spec);
    if (!references.some((r) => r.kind === kind && r.name === name)) continue;
    const source = getResourceKey(resource.kind, resource.name);
    return err(
      RESOURCE_ERRORS.create('still_referred_to', {kind, name, source}),
    );
  }
  return ok();
}

/** Formats the faults of a spec as `field: fault` pairs. */
export function formatSpecFaults(error: z.ZodError): string {
  return error.issues
    .map((issue) => `${issue.path.join('.') || 'spec'}: ${issue.message}`)
    .join('; ');
}
