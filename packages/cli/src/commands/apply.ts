/**
 * `irisdock apply`: makes resources as files declare them. All files are
 * checked before anything is sent; what is as declared is left alone.
 */
import {isDeepStrictEqual} from 'node:util';
import type {KnownError} from '@irisdock/kernel';
import {
  parseConfigFile,
  type Declaration,
  type FileFault,
  type KindName,
} from '@irisdock/resources';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {CLI_ERRORS} from '../errors.js';
import {createCommand, type CommandContext} from '../command.js';

/** What refers to others comes after them. */
const KIND_ORDER: Readonly<Record<KindName, number>> = {
  modelVersion: 0,
  adapter: 1,
  service: 2,
  team: 3,
  teamPriority: 4,
  placementRule: 5,
};

/** The command. */
export const APPLY_COMMAND = createCommand({
  name: 'apply',
  usage: '-f <file> [-f <file> ...]',
  description: 'Creates and changes resources as YAML or JSON files say.',
  options: [
    {flag: 'file', short: 'f', description: 'A file, or - for standard input.'},
    {
      flag: 'dry-run',
      isSwitch: true,
      description: 'Says what would be done, and does nothing.',
    },
  ],
  schema: z.object({
    words: z.tuple([], 'give files with -f'),
    options: z.object({
      file: z.array(z.string(), 'give files with -f').min(1),
      'dry-run': z.boolean().default(false),
    }),
  }),
  async run(context, {options}) {
    const declarations = await readFiles(context, options.file);
    if (declarations.isErr()) return err(declarations.error);
    for (const declaration of declarations.value) {
      const done = await applyOne(context, declaration, options['dry-run']);
      if (done.isErr()) return err(done.error);
    }
    return ok();
  },
});

async function readFiles(
  context: CommandContext,
  names: readonly string[],
): Promise<Result<Declaration[], KnownError>> {
  const declarations: Declaration[] = [];
  const faults: string[] = [];
  for (const name of names) {
    const text = await context.readFile(name);
    if (text.isErr()) return err(text.error);
    const parsed = parseConfigFile(text.value);
    if (parsed.isOk()) declarations.push(...parsed.value);
    else faults.push(...parsed.error.map((fault) => formatFault(name, fault)));
  }
  if (faults.length > 0) {
    return err(CLI_ERRORS.create('file_faults', {faults: faults.join('\n')}));
  }
  declarations.sort((a, b) => KIND_ORDER[a.kind] - KIND_ORDER[b.kind]);
  return ok(declarations);
}

function formatFault(name: string, fault: FileFault): string {
  return `${name}:${fault.line}:${fault.column}: ${fault.text}`;
}

async function applyOne(
  context: CommandContext,
  declaration: Declaration,
  isDryRun: boolean,
): Promise<Result<void, KnownError>> {
  const {client, output} = context;
  const {kind, name, spec} = declaration;
  const found = await client.getResource(kind, name);
  if (found.isErr()) return err(found.error);
  const before = found.value;
  const same = before !== undefined && isDeepStrictEqual(before.spec, spec);
  const action = same ? 'unchanged' : before ? 'changed' : 'created';
  const report = (version: number): void => {
    const note = isDryRun && !same ? ' (dry run)' : '';
    const value = {kind, name, action, version, dryRun: isDryRun};
    output.printLine(value, `${kind}/${name} ${action}${note}`);
  };
  if (same || isDryRun) {
    report(before?.version ?? 0);
    return ok();
  }
  const put = await client.putResource(kind, name, spec, before?.version ?? 0);
  if (put.isErr()) return err(put.error);
  report(put.value.toVersion);
  return ok();
}
