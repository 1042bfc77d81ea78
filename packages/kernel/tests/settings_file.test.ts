/** The settings file, and log lines that never hold up their writer. */
import assert from 'node:assert/strict';
import {mkdtempSync, openSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {
  LineWriter,
  parseSettings,
  parseSettingsFile,
  readSettingsFile,
} from '@irisdock/kernel';
import * as z from 'zod';

const GROUPS = [
  {
    name: 'front',
    schema: z.object({
      listen: z.string(),
      waitMs: z.coerce.number().int().default(5),
    }),
  },
];

function createTempPath(name: string): string {
  return join(mkdtempSync(join(tmpdir(), 'irisdock-')), name);
}

describe('a settings file', () => {
  it('goes before defaults and after flags and variables', () => {
    const file = parseSettingsFile(
      '[front]\nlisten = "from the file"\nwaitMs = 7\n',
    )._unsafeUnwrap();
    const read = (
      args: readonly string[],
      env: Readonly<Record<string, string>>,
    ): unknown =>
      parseSettings(GROUPS, args, env, file)._unsafeUnwrap().get('front');
    assert.deepEqual(read([], {}), {listen: 'from the file', waitMs: 7});
    assert.deepEqual(read(['--front-listen', 'flag'], {}), {
      listen: 'flag',
      waitMs: 7,
    });
    const env = {IRISDOCK_FRONT_WAIT_MS: '9'};
    assert.deepEqual(read([], env), {listen: 'from the file', waitMs: 9});
  });

  it('takes lists as texts joined by commas', () => {
    const text = '[peers]\nseeds = ["a:1", "b:2"]\n';
    const file = parseSettingsFile(text)._unsafeUnwrap();
    assert.equal(file.get('peers')?.get('seeds'), 'a:1,b:2');
  });

  const faults: readonly [string, string, RegExp][] = [
    ['an unknown setting', '[front]\nlisten="x"\nmore=1', /no setting more/],
    ['an unknown group', '[other]\nx=1', /no setting x in \[other\]/],
    [
      'a value of the wrong kind',
      '[front]\nlisten="x"\nwaitMs="y"',
      /waitMs|wait-ms/,
    ],
    ['a missing setting', '[front]\nwaitMs=1', /front-listen/],
  ];
  for (const [what, text, message] of faults) {
    it(`is refused with ${what}`, () => {
      const file = parseSettingsFile(text)._unsafeUnwrap();
      const settings = parseSettings(GROUPS, [], {}, file);
      assert.match(settings._unsafeUnwrapErr().join('\n'), message);
    });
  }

  it('is refused when it is no TOML, has loose keys or is not there', () => {
    const broken = parseSettingsFile('[front\nx')._unsafeUnwrapErr();
    assert.match(broken, /not valid TOML/);
    const loose = parseSettingsFile('x = 1')._unsafeUnwrapErr();
    assert.match(loose, /stands in no table/);
    const path = createTempPath('none.toml');
    assert.match(readSettingsFile(path)._unsafeUnwrapErr(), /none\.toml/);
    writeFileSync(path, '[front]\nlisten = "x"\n');
    assert.equal(readSettingsFile(path).isOk(), true);
  });
});

describe('a line writer', () => {
  const options = {maxLinesPerSecond: 3, maxWaitingBytes: 1000};

  it('leaves lines out beyond its bound and says how many', async () => {
    let now = 0;
    const path = createTempPath('log');
    const writer = new LineWriter(openSync(path, 'w'), options, () => now);
    for (let at = 0; at < 8; at++) writer.write(`line ${at}`);
    assert.equal(writer.leftOutCount, 5);
    now = 1000;
    writer.write('next second');
    await writer.close();
    assert.deepEqual(readFileSync(path, 'utf8').trim().split('\n'), [
      'line 0',
      'line 1',
      'line 2',
      'next second',
      '{"leftOutLines":5}',
    ]);
  });

  it('leaves lines out while too much waits', () => {
    const fd = openSync(createTempPath('log'), 'w');
    const writer = new LineWriter(fd, options, () => 0);
    writer.write('x'.repeat(990));
    writer.write('y'.repeat(20));
    assert.equal(writer.leftOutCount, 1);
  });
});
