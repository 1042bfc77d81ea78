/** The ports that hosts of a play get. */
import assert from 'node:assert/strict';
import {createSocket} from 'node:dgram';
import {describe, it} from 'node:test';
import {takeFreePorts} from '@irisdock/soak';

/** A port that `fetch` refuses, as a number above the least one. */
const BLOCKED = 80;
const LEAST_PORT = 10_000;
const TAKEN_PORT = 14_324;

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

  it('are free for datagrams too', async () => {
    const socket = createSocket('udp4');
    await new Promise<void>((resolve) => {
      socket.bind(TAKEN_PORT, '127.0.0.1', resolve);
    });
    const draws = [TAKEN_PORT - LEAST_PORT, 4323];
    const ports = await takeFreePorts(1, () => draws.shift() ?? 0);
    socket.close();
    assert.notEqual(ports[0], TAKEN_PORT);
  });
});
