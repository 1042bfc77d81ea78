/** A running host takes a changed settings file, and no faulty one. */
import assert from 'node:assert/strict';
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {DEPLOYED_PROGRAM, HostProcess} from '@irisdock/soak';
import {
  createAddressPath,
  createSoakConfiguration,
  decodeAddresses,
  HOST_NAME,
  putConfiguration,
  StoreStandin,
} from '@irisdock/users-platform/fixtures';

const TRIES = 500;
const STEP_MS = 40;

/** A host that runs, its settings file and its log. */
interface RunningHost {
  readonly host: HostProcess;
  readonly settingsPath: string;
  readonly logPath: string;
}

async function runWithHost(
  body: (running: RunningHost) => Promise<void>,
): Promise<void> {
  const directory = mkdtempSync(join(tmpdir(), 'irisdock-settings-'));
  const store = new StoreStandin();
  putConfiguration(store, createSoakConfiguration(1));
  const exits: unknown[] = [];
  const host = new HostProcess({
    name: 'host-1',
    failureDomain: 'zone-1',
    program: DEPLOYED_PROGRAM,
    directory,
    storeAddress: (await store.startListener()).address,
    getSeeds: () => [],
    handleUnexpectedExit: (exit) => exits.push(exit),
  });
  try {
    await host.start();
    await waitUntil(async () => (await readKeepSeconds(host)) === 1);
    await body({
      host,
      settingsPath: join(directory, 'host-1.toml'),
      logPath: join(directory, 'host-1.log'),
    });
    assert.deepEqual(exits, []);
  } finally {
    await host.close();
    store.stop();
    rmSync(directory, {recursive: true});
  }
}

/** Reads for how long callers are told to keep an answer. */
async function readKeepSeconds(host: HostProcess): Promise<number | undefined> {
  const path = createAddressPath(HOST_NAME, 'zone-1');
  try {
    const answer = await fetch(`http://${host.directoryAddress}${path}`);
    return decodeAddresses(await answer.text()).keepSeconds;
  } catch {
    // It does not listen, or knows no configuration, yet.
    return undefined;
  }
}

async function waitUntil(isMet: () => Promise<boolean>): Promise<void> {
  for (let tries = 0; tries < TRIES; tries++) {
    if (await isMet()) return;
    await new Promise((resolve) => setTimeout(resolve, STEP_MS));
  }
  throw new Error('It did not come to this.');
}

describe('a changed settings file', () => {
  it('is taken at a signal, as far as it can change at run time', async () => {
    await runWithHost(async ({host, settingsPath, logPath}) => {
      appendFileSync(settingsPath, 'keepSeconds = 3\n[phase]\n');
      const text = readFileSync(settingsPath, 'utf8');
      const changed = text
        .replace('[phase]\ngraceSeconds = 4\n', '')
        .concat('graceSeconds = 5\n');
      writeFileSync(settingsPath, changed);
      host.sendSignal('SIGHUP');
      await waitUntil(async () => (await readKeepSeconds(host)) === 3);
      await waitUntil(() => {
        const log = readFileSync(logPath, 'utf8');
        const isTold =
          log.includes('"inForce":"[directory] keepSeconds"') &&
          log.includes('"atNextStart":"[phase] graceSeconds"');
        return Promise.resolve(isTold);
      });
    });
  });

  it('is noticed without a signal', async () => {
    await runWithHost(async ({host, settingsPath}) => {
      appendFileSync(settingsPath, 'keepSeconds = 4\n');
      await waitUntil(async () => (await readKeepSeconds(host)) === 4);
    });
  });

  it('with faults changes nothing, and all faults are told', async () => {
    await runWithHost(async ({host, settingsPath, logPath}) => {
      appendFileSync(settingsPath, 'keepSeconds = -1\nunknown = 2\n');
      host.sendSignal('SIGHUP');
      await waitUntil(() => {
        const log = readFileSync(logPath, 'utf8');
        const isTold =
          log.includes('keeping the old ones') &&
          log.includes('keepSeconds') &&
          log.includes('unknown');
        return Promise.resolve(isTold);
      });
      assert.equal(await readKeepSeconds(host), 1);
    });
  });
});
