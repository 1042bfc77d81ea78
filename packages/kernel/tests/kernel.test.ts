/** Services start in order and find each other; tasks; settings; errors. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  Channel,
  createErrorTable,
  createService,
  createServiceKey,
  formatSettingsHelp,
  getShuffled,
  IP_PORT_SCHEMA,
  Kernel,
  parseSettings,
  RoarrLogger,
  SeededRandom,
  SystemClock,
  Task,
  type AnyServiceDefinition,
  type ServiceKey,
} from '@irisdock/kernel';
import {Registry} from 'prom-client';
import {ROARR} from 'roarr';
import * as z from 'zod';

const LOG = new RoarrLogger('tests', 'off');

function createKernel(definitions: readonly AnyServiceDefinition[]): Kernel {
  return new Kernel(definitions, {
    clock: new SystemClock(),
    random: new SeededRandom(1),
    log: LOG,
    metrics: new Registry(),
  });
}

/** A service that writes down what happens to it. */
function createNoted(
  name: string,
  needs: readonly ServiceKey<unknown>[],
  notes: string[],
): AnyServiceDefinition {
  const note = (what: string) => (): Promise<void> => {
    notes.push(`${what} ${name}`);
    return Promise.resolve();
  };
  return createService({
    key: createServiceKey<string>(name),
    settings: z.object({}),
    needs,
    create: () => ({
      api: name,
      start: note('start'),
      drain: note('drain'),
      stop: note('stop'),
    }),
  });
}

const A = createServiceKey<string>('a');
const B = createServiceKey<string>('b');

describe('Kernel', () => {
  it('starts what is needed first and stops it last', async () => {
    const notes: string[] = [];
    const kernel = createKernel([
      createNoted('b', [A], notes),
      createNoted('a', [], notes),
    ]);
    await kernel.start(new Map());
    await kernel.stop();
    const want = 'start a, start b, drain b, drain a, stop b, stop a';
    assert.equal(notes.join(', '), want);
  });

  const faulty: readonly {
    name: string;
    definitions: readonly AnyServiceDefinition[];
    message: RegExp;
  }[] = [
    {
      name: 'a missing need',
      definitions: [createNoted('b', [A], [])],
      message: /b needs a. Add its definition/,
    },
    {
      name: 'a circle of needs',
      definitions: [createNoted('a', [B], []), createNoted('b', [A], [])],
      message: /needs itself/,
    },
    {
      name: 'asking for what was not named',
      definitions: [
        createNoted('a', [], []),
        createService({
          key: B,
          settings: z.object({}),
          needs: [],
          create: (context) => ({api: context.find(A)}),
        }),
      ],
      message: /b asked for a. Add it to needs/,
    },
  ];
  for (const {name, definitions, message} of faulty) {
    it(`does not start with ${name}`, async () => {
      await assert.rejects(createKernel(definitions).start(new Map()), message);
    });
  }
});

describe('Kernel, when a service does not start', () => {
  it('stops those that did and gives the error on', async () => {
    const notes: string[] = [];
    const failing = createService({
      key: createServiceKey<string>('failing'),
      settings: z.object({}),
      needs: [A],
      create: () => ({
        api: 'failing',
        start: () => Promise.reject(new Error('the port is taken')),
      }),
    });
    const kernel = createKernel([createNoted('a', [], notes), failing]);
    await assert.rejects(kernel.start(new Map()), /the port is taken/);
    assert.deepEqual(notes, ['start a', 'stop a']);
  });
});

describe('Task', () => {
  it('handles one message at a time, in order, and goes on after a fault', async () => {
    const handled: number[] = [];
    let open = 0;
    const task = new Task<number>(
      'numbers',
      async (message) => {
        assert.equal(open, 0);
        open++;
        await Promise.resolve();
        open--;
        handled.push(message);
        if (message === 2) throw new Error('a fault');
      },
      LOG,
    );
    for (const message of [1, 2, 3]) task.post(message);
    await task.stop();
    assert.deepEqual(handled, [1, 2, 3]);
  });
});

describe('Channel', () => {
  it('gives every observer what is posted while it observes', async () => {
    const channel = new Channel<number>();
    const seen: number[] = [];
    channel.post(1);
    const done = channel.stream.observe((message) => {
      seen.push(message);
    });
    channel.post(2);
    channel.close();
    channel.post(3);
    await done;
    assert.deepEqual(seen, [2]);
  });
});

const GROUP = {
  name: 'part',
  schema: z.object({
    listen: IP_PORT_SCHEMA.default('127.0.0.1:1').meta({
      unit: 'ip:port',
      description: 'Where to listen.',
    }),
    maxMs: z.coerce.number().int().min(5).meta({unit: 'ms'}),
  }),
};

describe('parseSettings', () => {
  const cases: readonly {
    name: string;
    args: readonly string[];
    env: Record<string, string>;
    want: unknown;
  }[] = [
    {
      name: 'takes flags before variables before defaults',
      args: ['--part-max-ms', '7'],
      env: {IRISDOCK_PART_MAX_MS: '9', IRISDOCK_PART_LISTEN: '[::1]:80'},
      want: {listen: '[::1]:80', maxMs: 7},
    },
    {
      name: 'takes defaults',
      args: [],
      env: {IRISDOCK_PART_MAX_MS: '9'},
      want: {listen: '127.0.0.1:1', maxMs: 9},
    },
  ];
  for (const {name, args, env, want} of cases) {
    it(name, () => {
      const parsed = parseSettings([GROUP], args, env);
      assert.deepEqual(parsed._unsafeUnwrap().get('part'), want);
    });
  }

  it('reports all faults at once, each with its flag and unit', () => {
    const args = ['--part-listen', 'localhost:1', '--part-max-ms', '2'];
    const faults = parseSettings([GROUP], args, {})._unsafeUnwrapErr();
    assert.equal(faults.length, 2);
    assert.match(faults[0] ?? '', /--part-listen .*in ip:port: Give an IP/);
    assert.match(faults[1] ?? '', /--part-max-ms .*in ms/);
  });

  it('reports a required setting and an unknown flag', () => {
    const missing = parseSettings([GROUP], [], {})._unsafeUnwrapErr();
    assert.match(missing[0] ?? '', /--part-max-ms/);
    const unknown = parseSettings([GROUP], ['--nothing', '1'], {});
    assert.match(unknown._unsafeUnwrapErr()[0] ?? '', /--nothing.*--help/);
  });

  it('shows unit, default and variable in the help', () => {
    const help = formatSettingsHelp([GROUP]);
    assert.match(help, /--part-listen <ip:port>\n {6}Where to listen/);
    assert.match(help, /default 127.0.0.1:1; environment IRISDOCK_PART_LISTEN/);
    assert.match(help, /required; environment IRISDOCK_PART_MAX_MS/);
  });
});

describe('createErrorTable', () => {
  it('fills the texts and carries when to come back', () => {
    const table = createErrorTable({
      full: {
        status: 503,
        outcome: 'not-run',
        message: '{what} is full.',
        remedy: 'Wait for {what}.',
      },
    });
    assert.deepEqual(table.create('full', {what: 'it'}, 3), {
      kind: 'full',
      status: 503,
      outcome: 'not-run',
      message: 'it is full.',
      remedy: 'Wait for it.',
      retryAfterSeconds: 3,
    });
  });
});

describe('changed settings', () => {
  it('go to the services that take them while they run', async () => {
    const taken: unknown[] = [];
    const kernel = createKernel([
      createService({
        key: createServiceKey<undefined>('door'),
        settings: z.object({width: z.number(), height: z.number()}),
        needs: [],
        create: () => ({
          api: undefined,
          live: {keys: ['width'], apply: (next) => taken.push(next)},
        }),
      }),
    ]);
    await kernel.start(new Map([['door', {width: 1, height: 2}]]));
    const same = kernel.applySettings(
      new Map([['door', {width: 1, height: 2}]]),
    );
    assert.deepEqual(same, {inForce: [], atNextStart: []});
    const next = {width: 3, height: 4};
    assert.deepEqual(kernel.applySettings(new Map([['door', next]])), {
      inForce: ['[door] width'],
      atNextStart: ['[door] height'],
    });
    assert.deepEqual(taken, [next]);
  });
});

describe('getShuffled', () => {
  it('keeps all items and repeats with its seed', () => {
    const items = [1, 2, 3, 4, 5, 6];
    const [one, two] = [9, 9].map((seed) =>
      getShuffled(items, new SeededRandom(seed)),
    );
    assert.deepEqual(one, two);
    assert.deepEqual([...(one ?? [])].sort(), items);
  });
});

describe('RoarrLogger', () => {
  it('writes a line of its level, with its part, and none below', () => {
    const lines: string[] = [];
    const {write} = ROARR;
    ROARR.write = (line) => {
      lines.push(line);
    };
    const log = new RoarrLogger('daemon', 'info').createPart('part');
    log.writeDebug('Not seen.');
    log.writeInfo('100 % seen.', {count: 3});
    ROARR.write = write;
    assert.equal(lines.length, 1);
    const line = JSON.parse(lines[0] ?? '') as {
      message: string;
      context: {part: string; count: number};
    };
    assert.equal(line.message, 'part: 100 % seen.');
    assert.equal(line.context.part, 'part');
    assert.equal(line.context.count, 3);
  });
});
