/** A soak without the program of its hosts says so instead of waiting. */
import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {runPlay, USUAL_PLAY} from '@irisdock/soak';

const MAIN = fileURLToPath(new URL('../src/main.js', import.meta.url));
const MISSING = '/missing/irisdock-start.mjs';
const REMEDY = /missing\. Build it with `npm run prepare:all`/u;
/** Ends a soak that starts hosts although they have no program, in ms. */
const KILL_AFTER_MS = 20_000;

describe('a soak whose hosts have no program', () => {
  it('names the remedy and ends', () => {
    const args = [MAIN, '--minutes', '0', '--program', MISSING];
    const {status, stderr, stdout} = spawnSync(process.execPath, args, {
      encoding: 'utf8',
      timeout: KILL_AFTER_MS,
    });
    assert.match(stderr, REMEDY);
    assert.equal(stdout, '');
    assert.equal(status, 2);
  });

  it('starts no host in a test either', async () => {
    const play = runPlay(1, {...USUAL_PLAY, program: MISSING});
    await assert.rejects(play, REMEDY);
  });
});
