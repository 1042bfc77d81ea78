/** The ports that hosts of a play get. */
import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {describe, it} from 'node:test';
import {takeFreePorts} from '@irisdock/soak';

/** A port that `fetch` refuses, as a number above the least one. */
const BLOCKED = 80;
const LEAST_PORT = 10_000;
const TAKEN_PORT = 14_324;
const OTHERS_DRAW = 4325;
/** Another soak: takes a port at which nothing listens yet, and stays. */
const OTHER_SOAK = `
import {takeFreePorts} from '@irisdock/soak';
const [port] = await takeFreePorts(1, () => ${OTHERS_DRAW});
process.stdout.write(String(port));
setInterval(() => undefined, 1000);
`;

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

  it('are not those of a stopped host of another soak', async () => {
    const args = ['--input-type=module', '--eval', OTHER_SOAK];
    const other = spawn(process.execPath, args, {
      cwd: import.meta.dirname,
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    try {
      const [port] = (await once(other.stdout, 'data')) as [Buffer];
      assert.equal(Number(port.toString()), LEAST_PORT + OTHERS_DRAW);
      const draws = [OTHERS_DRAW, OTHERS_DRAW + 1];
      const ports = await takeFreePorts(1, () => draws.shift() ?? 0);
      assert.deepEqual(ports, [LEAST_PORT + OTHERS_DRAW + 1]);
    } finally {
      other.kill();
    }
  });
});
