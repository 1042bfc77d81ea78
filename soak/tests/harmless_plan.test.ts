/** Harmless events come from a seed, and silences are as short as allowed. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {SeededRandom} from '@irisdock/kernel';
import {HARMLESS_KINDS, planHarmless} from '@irisdock/soak';
import {answerOk, ServerStandin} from '@irisdock/users-platform/fixtures';

const LENGTH_MS = 9000;
const MANY_SEEDS = 50;
/** How long a sound endpoint may be silent, in ms. */
const LONGEST_SILENCE_MS = 2000;

function createPlan(seed: number): ReturnType<typeof planHarmless> {
  return planHarmless(new SeededRandom(seed), LENGTH_MS);
}

describe('harmless events of the soak', () => {
  it('are the same from a seed, and of all kinds from many', () => {
    assert.deepEqual(createPlan(5), createPlan(5));
    const kinds = new Set<string>();
    for (let seed = 0; seed < MANY_SEEDS; seed++) {
      for (const {kind, forMs} of createPlan(seed)) {
        kinds.add(kind);
        assert.ok(forMs <= LONGEST_SILENCE_MS);
      }
    }
    assert.equal(kinds.size, HARMLESS_KINDS.length);
  });

  it('leave a silent endpoint connected, which answers later', async () => {
    const server = new ServerStandin(answerOk);
    const address = await server.start();
    assert.ok(server.silence.start());
    assert.ok(!server.silence.start());
    let isAnswered = false;
    const answer = fetch(`http://${address}/x`).then((response) => {
      isAnswered = true;
      return response.text();
    });
    await sleep(100);
    assert.equal(server.seen.length, 0);
    assert.ok(!isAnswered);
    server.silence.end();
    assert.equal(await answer, 'well');
    server.stop();
  });
});
