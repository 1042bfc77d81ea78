/** The docs say what is there. */
import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {COMMANDS, EXIT_CODES, EXIT_MEANINGS} from '@irisdock/cli';
import {SERVICES} from '@irisdock/daemon';
import {KIND_NAMES, KINDS, parseConfigFile} from '@irisdock/resources';
import {
  createDeployment,
  formatErrorPage,
  formatGatewaySettingsPage,
  formatSettingsPage,
  sendHttp,
} from '@irisdock/testkit';
import * as z from 'zod';

const DOCS = new URL('../../../../docs/', import.meta.url);
const OPERATOR_PARTS = [
  '## What it is',
  '## How it shows',
  '## What the system does by itself',
  '## The first three things to do',
  '## Settings',
  '## When this is not the page',
];

function readPage(name: string): string {
  return readFileSync(new URL(name, DOCS), 'utf8');
}

describe('docs', () => {
  it('list the settings as the schemas declare them', () => {
    assert.equal(readPage('SETTINGS.md'), formatSettingsPage());
  });

  it('list the settings of the gateway as the schemas declare them', () => {
    const page = readPage('GATEWAY_SETTINGS.md');
    assert.equal(page, formatGatewaySettingsPage());
  });

  it('list the errors as the tables declare them', () => {
    assert.equal(readPage('ERRORS.md'), formatErrorPage());
  });

  it('name every service of the daemon', () => {
    const page = readPage('ARCHITECTURE.md');
    for (const {key} of SERVICES) {
      assert.match(page, new RegExp(`\\| \`${key.name}\` +\\|`));
    }
  });

  it('name every command and exit code', () => {
    const page = readPage('COMMANDS.md');
    for (const {name, options} of COMMANDS) {
      assert.ok(page.includes(`\`irisdock ${name}`), name);
      for (const {flag} of options) assert.ok(page.includes(`--${flag}`), flag);
    }
    for (const [name, code] of Object.entries(EXIT_CODES)) {
      const meaning = EXIT_MEANINGS[name as keyof typeof EXIT_CODES];
      assert.match(page, new RegExp(`\\| ${code} +\\| ${meaning}`));
    }
  });

  it('name every metric that is served, and no other', async () => {
    const deployment = await createDeployment({daemons: 1, engines: 1});
    try {
      const {operator} = deployment.getDaemon(0).places;
      const answer = await sendHttp(`http://${operator}/metrics`);
      const served = [...answer.text.matchAll(/^# HELP (irisdock_\S+)/gm)]
        .map((match) => match[1] ?? '')
        .filter((name) => !name.startsWith('irisdock_process_'));
      const page = readPage('METRICS.md');
      const named = [...page.matchAll(/^\| `(irisdock_\w+)`/gm)].map(
        (match) => match[1] ?? '',
      );
      assert.deepEqual(named.sort(), served.sort());
    } finally {
      await deployment.stop();
    }
  });

  for (const name of KIND_NAMES) {
    it(`give ${name} an example that is valid and all its fields`, () => {
      const page = readPage(`resources/${name}.md`);
      const example = /```yaml\n([\s\S]*?)```/.exec(page)?.[1] ?? '';
      const parsed = parseConfigFile(example);
      assert.equal(parsed._unsafeUnwrap()[0]?.kind, name);
      const json = JSON.stringify(z.toJSONSchema(KINDS[name].schema));
      const fields = [...json.matchAll(/"required":\[([^\]]*)\]/g)]
        .flatMap((match) => (match[1] ?? '').split(','))
        .map((field) => field.replaceAll('"', ''));
      for (const field of fields) {
        assert.ok(page.includes(`\`${field}\``), field);
      }
    });
  }

  const pages = readdirSync(new URL('operators/', DOCS)).filter(
    (name) => name !== 'README.md' && name !== 'alarms.md',
  );
  for (const name of pages) {
    it(`for operators have one layout: ${name}`, () => {
      const page = readPage(`operators/${name}`);
      const parts = page.split('\n').filter((line) => line.startsWith('## '));
      assert.deepEqual(parts, OPERATOR_PARTS);
    });
  }

  it('name only metrics and settings that there are', () => {
    const metrics = readPage('METRICS.md');
    const settings = readPage('SETTINGS.md');
    for (const name of readdirSync(new URL('operators/', DOCS))) {
      const page = readPage(`operators/${name}`);
      for (const [metric] of page.matchAll(/irisdock_[a-z_]+/g)) {
        assert.ok(metrics.includes(`\`${metric}\``), `${name}: ${metric}`);
      }
      for (const [, flag] of page.matchAll(/`--([a-z-]+)`/g)) {
        assert.ok(settings.includes(`\`--${flag ?? ''}\``), `${name}: ${flag}`);
      }
    }
  });
});
