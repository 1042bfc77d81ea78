/** A slow caller gets a refusal only when its connection lingers. */
import assert from 'node:assert/strict';
import {createServer, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {SeededRandom} from '@irisdock/kernel';
import {Disturbances, SlowCaller, TcpLink, Witness} from '@irisdock/soak';

const REFUSAL =
  'HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}';

/** Sends one request to a server that refuses at once; gives the witness. */
async function runWithServer(
  handleRefused: (socket: Socket) => void,
): Promise<Witness> {
  const server = createServer({allowHalfOpen: true}, (socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(REFUSAL, () => {
        handleRefused(socket);
      });
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as {port: number};
  const link = new TcpLink(() => ({host: '127.0.0.1', port}));
  const callerAddress = await link.start();
  const witness = new Witness(new Disturbances());
  const caller = new SlowCaller('slow', {
    hosts: [{name: 'host-1', callerAddress, callerLink: link}],
    addresses: {choose: () => Promise.resolve(callerAddress)},
    witness,
    random: new SeededRandom(1),
    getVersion: () => 9,
  });
  await caller.sendRequest();
  link.stop();
  server.close();
  return witness;
}

describe('a slow caller', () => {
  it('reads the refusal of a host that reads on', async () => {
    const {faults, ends} = await runWithServer((socket) => {
      socket.end();
      socket.on('end', () => socket.destroy());
    });
    assert.deepEqual(faults, []);
    assert.equal(ends.counts.failed, 1);
  });

  it('finds a refusal lost when its connection is reset', async () => {
    const {faults, ends} = await runWithServer((socket) => {
      socket.destroy();
    });
    assert.equal(faults.length, 1);
    assert.equal(ends.counts.cut, 1);
  });
});
