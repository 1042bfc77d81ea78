/**
 * Configuration files: YAML (and so JSON) documents, one resource each. Every
 * fault is reported with its line and column, all of them at once.
 */
import {getErrorText} from '@irisdock/kernel';
import {err, ok, type Result} from 'neverthrow';
import {LineCounter, parseAllDocuments, type Document} from 'yaml';
import * as z from 'zod';
import {KIND_NAMES, NAME_SCHEMA, type KindName} from './kind.js';
import {KINDS} from './kind_table.js';

/** A resource as a file declares it. */
export interface Declaration {
  readonly kind: KindName;
  readonly name: string;
  readonly spec: unknown;
}

/** A fault of a file. */
export interface FileFault {
  readonly line: number;
  readonly column: number;
  readonly text: string;
}

const DECLARATION_SCHEMA = z.strictObject({
  kind: z.enum(KIND_NAMES),
  name: NAME_SCHEMA,
  spec: z.unknown(),
});

/** Parses a file into resources, or gives all its faults. */
export function parseConfigFile(
  text: string,
): Result<Declaration[], FileFault[]> {
  const counter = new LineCounter();
  const documents = parseAllDocuments(text, {lineCounter: counter});
  const reader = new FileReader(counter);
  const declarations: Declaration[] = [];
  for (const document of documents) {
    const declaration = reader.readDocument(document);
    if (declaration !== undefined) declarations.push(declaration);
  }
  if (reader.faults.length > 0) return err(reader.faults);
  return ok(declarations);
}

class FileReader {
  readonly faults: FileFault[] = [];
  private readonly places = new Map<string, number>();

  constructor(private readonly counter: LineCounter) {}

  readDocument(document: Document): Declaration | undefined {
    for (const error of document.errors) {
      this.addFault(error.pos[0], error.message.split('\n')[0] ?? '');
    }
    if (document.errors.length > 0) return undefined;
    const value = this.readValue(document);
    // A document without content, as after a last `---`, declares nothing.
    if (value === null || value === undefined) return undefined;
    const parsed = DECLARATION_SCHEMA.safeParse(value);
    if (!parsed.success) {
      this.addIssues(document, [], parsed.error);
      return undefined;
    }
    const {kind, name} = parsed.data;
    this.checkTwice(document, `${kind}/${name}`);
    const spec = KINDS[kind].schema.safeParse(parsed.data.spec);
    if (spec.success) return {kind, name, spec: spec.data};
    this.addIssues(document, ['spec'], spec.error);
    return undefined;
  }

  /** Gives a document's value; an alias to nothing is a fault. */
  private readValue(document: Document): unknown {
    try {
      return document.toJS() as unknown;
    } catch (thrown) {
      const offset = getOffset(document.contents) ?? 0;
      this.addFault(offset, getErrorText(thrown));
      return undefined;
    }
  }

  private checkTwice(document: Document, key: string): void {
    const offset = document.contents?.range?.[0] ?? 0;
    const before = this.places.get(key);
    this.places.set(key, offset);
    if (before === undefined) return;
    const {line} = this.counter.linePos(before);
    this.addFault(offset, `${key} is declared before, in line ${line}`);
  }

  private addIssues(
    document: Document,
    base: readonly string[],
    error: z.ZodError,
  ): void {
    for (const issue of error.issues) {
      const path = [...base, ...issue.path.map(String)];
      const field = path.join('.') || 'document';
      this.addFault(findOffset(document, path), `${field}: ${issue.message}`);
    }
  }

  private addFault(offset: number, text: string): void {
    const {line, col} = this.counter.linePos(offset);
    this.faults.push({line, column: col, text});
  }
}

function findOffset(document: Document, path: readonly string[]): number {
  for (let length = path.length; length > 0; length--) {
    const node: unknown = document.getIn(path.slice(0, length), true);
    const offset = getOffset(node);
    if (offset !== undefined) return offset;
  }
  return getOffset(document.contents) ?? 0;
}

function getOffset(node: unknown): number | undefined {
  if (typeof node !== 'object' || node === null) return undefined;
  if (!('range' in node) || !Array.isArray(node.range)) return undefined;
  const [start] = node.range as unknown[];
  return typeof start === 'number' ? start : undefined;
}
