/** `irisdock watch`: changes as they come into force. */
import {setTimeout as wait} from 'node:timers/promises';
import {getErrorText, type KnownError} from '@irisdock/kernel';
import {CHANGE_SCHEMA, type Change} from '@irisdock/resources';
import {createParser} from 'eventsource-parser';
import {err, ok, type Result} from 'neverthrow';
import {request} from 'undici';
import * as z from 'zod';
import {COUNT_SCHEMA, KIND_SCHEMA} from '../argument_schemas.js';
import {CLI_ERRORS} from '../errors.js';
import {createCommand, type CommandContext} from '../command.js';

const AGAIN_MS = 500;
const MAX_FAILURES = 20;
const GONE = 410;

/** The command. */
export const WATCH_COMMAND = createCommand({
  name: 'watch',
  usage: '[<kind>]',
  description: 'Prints changes as they come into force, until it is ended.',
  options: [
    {flag: 'after', description: 'Begin after this revision.'},
    {flag: 'count', description: 'End after so many changes.'},
  ],
  schema: z.object({
    words: z.union(
      [z.tuple([]), z.tuple([KIND_SCHEMA])],
      'give one kind or none',
    ),
    options: z.object({
      after: COUNT_SCHEMA.optional(),
      count: COUNT_SCHEMA.optional(),
    }),
  }),
  async run(context, {words: [kind], options}) {
    const watch = new Watch(context, options.after, options.count ?? Infinity);
    return watch.run((change) => kind === undefined || change.kind === kind);
  },
});

class Watch {
  private failures = 0;

  constructor(
    private readonly context: CommandContext,
    private after: number | undefined,
    private left: number,
  ) {}

  /** Follows one server after the other, from the last revision on. */
  async run(
    isWanted: (c: Change) => boolean,
  ): Promise<Result<void, KnownError>> {
    const {servers} = this.context.client;
    let detail = '';
    for (let turn = 0; this.failures < MAX_FAILURES; turn++) {
      const server = servers[turn % servers.length] ?? '';
      try {
        const status = await this.readFrom(server, isWanted);
        if (this.left <= 0) return ok();
        if (status === GONE) return err(this.createTooOld());
      } catch (thrown) {
        detail = getErrorText(thrown);
        this.failures++;
      }
      await wait(AGAIN_MS);
    }
    const data = {servers: servers.join(', '), detail};
    return err(CLI_ERRORS.create('unreachable', data));
  }

  private async readFrom(
    server: string,
    isWanted: (c: Change) => boolean,
  ): Promise<number> {
    const query = this.after === undefined ? '' : `?after=${this.after}`;
    const answer = await request(`http://${server}/v1/watch${query}`, {
      bodyTimeout: 0,
    });
    const parser = createParser({
      onEvent: ({data}) => {
        this.take(CHANGE_SCHEMA.parse(JSON.parse(data)), isWanted);
      },
    });
    const decoder = new TextDecoder();
    for await (const part of answer.body as AsyncIterable<Buffer>) {
      if (answer.statusCode !== 200) continue;
      this.failures = 0;
      parser.feed(decoder.decode(part, {stream: true}));
      if (this.left <= 0) break;
    }
    return answer.statusCode;
  }

  private take(change: Change, isWanted: (c: Change) => boolean): void {
    this.after = change.revision;
    if (!isWanted(change) || this.left <= 0) return;
    this.left--;
    this.context.output.printLine(change, formatChange(change));
  }

  private createTooOld(): KnownError {
    return CLI_ERRORS.create('forgotten', {after: this.after ?? 0});
  }
}

/** Formats a change as one line. */
export function formatChange(change: Change): string {
  const {revision, at, actor, action, kind, name} = change;
  const versions = `${change.fromVersion} -> ${change.toVersion}`;
  const when = new Date(at).toISOString();
  return `${revision} ${when} ${actor} ${action} ${kind}/${name} ${versions}`;
}
