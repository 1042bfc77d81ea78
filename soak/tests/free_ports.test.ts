/** The ports that hosts of a play get. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {takeFreePorts} from '@irisdock/soak';

/** A port that `fetch` refuses, as a number above the least one. */
const BLOCKED = 80;

describe('the ports of hosts', () => {
  it('are ones that fetch asks', async () => {
    const draws = [BLOCKED, BLOCKED, 4321, 4322];
    const draw = (): number => draws.shift() ?? 0;
    const ports = await takeFreePorts(2, draw);
    assert.equal(ports.length, 2);
    for (const port of ports) {
      // Nobody listens there: the refusal has to come from the network.
      await assert.rejects(fetch(`http://127.0.0.1:${port}/`), (thrown) => {
        assert.ok(thrown instanceof Error);
        assert.match(String(thrown.cause), /ECONNREFUSED/);
        return true;
      });
    }
  });
});
