/**
 * A host that was started again and told at once to read its settings again ended:
 * the signal came while its modules were being loaded, before any of them had asked
 * for it. By trials every process that got it within 60 ms of its start ended; Node
 * itself takes the first 20 to 30 of these.
 */
import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {copyFileSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {basename, join} from 'node:path';
import {describe, it} from 'node:test';
import {DEPLOYED_PROGRAM} from '@irisdock/soak';

/** The program that the first module of the deployed one loads. */
const LOADED = 'irisdock-gateway.mjs';
/** Tells its own process to read its settings, as its first step. */
const TOLD_AT_ONCE = `
process.kill(process.pid, 'SIGHUP');
await new Promise((resolve) => setTimeout(resolve, 200));
process.stdout.write('it runs');
`;

describe('a program that is told to reread while it loads', () => {
  it('goes on loading', () => {
    const directory = mkdtempSync(join(tmpdir(), 'irisdock-start-'));
    try {
      const first = join(directory, basename(DEPLOYED_PROGRAM));
      copyFileSync(DEPLOYED_PROGRAM, first);
      writeFileSync(join(directory, LOADED), TOLD_AT_ONCE);
      const run = spawnSync(process.execPath, [first], {encoding: 'utf8'});
      assert.equal(run.signal, null);
      assert.equal(run.stdout, 'it runs');
    } finally {
      rmSync(directory, {recursive: true});
    }
  });
});
