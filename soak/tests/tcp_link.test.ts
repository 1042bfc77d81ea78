/** The links of the soak pass bytes on, hold them back and reset. */
import assert from 'node:assert/strict';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {splitPlace} from '@irisdock/kernel';
import {TcpLink} from '@irisdock/soak';

/** Runs a body with a link to a server that sends back what it gets. */
async function runWithLink(
  body: (link: TcpLink, socket: Socket) => Promise<void>,
): Promise<void> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.pipe(socket);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const link = new TcpLink(() => ({host: '127.0.0.1', port}));
  const socket = connect(splitPlace(await link.start()));
  socket.on('error', () => undefined);
  try {
    await body(link, socket);
  } finally {
    socket.destroy();
    link.stop();
    server.close();
  }
}

/** Sends a text and gives what comes back, up to as many bytes. */
async function sendEcho(socket: Socket, text: string): Promise<string> {
  const echo = readText(socket, text.length);
  socket.write(text);
  return echo;
}

async function readText(socket: Socket, length: number): Promise<string> {
  let text = '';
  return new Promise((resolve) => {
    socket.on('data', (bytes: Buffer) => {
      text += bytes.toString();
      if (text.length >= length) resolve(text);
    });
  });
}

describe('a link of the soak', () => {
  // A request to a host that had stopped a second before was held against it: the
  // link takes the connection in its place, and the caller saw one that was cut.
  it('tells which connections nobody would have taken', async () => {
    const link = new TcpLink(() => ({host: '127.0.0.1', port: 1}));
    const socket = connect(splitPlace(await link.start()));
    socket.on('error', () => undefined);
    let ownPort = 0;
    socket.once('connect', () => {
      ownPort = socket.localPort ?? 0;
    });
    await new Promise((resolve) => socket.once('close', resolve));
    assert.ok(link.refusedPorts.has(ownPort));
    link.stop();
  });

  it('passes bytes on in their order, also when it gets faster', async () => {
    await runWithLink(async (link, socket) => {
      link.setHarm({delayMs: 40});
      const echo = readText(socket, 6);
      socket.write('one');
      await new Promise((resolve) => setTimeout(resolve, 20));
      link.setHarm({});
      socket.write('two');
      assert.equal(await echo, 'onetwo');
    });
  });

  it('holds bytes back one way until the harm is over', async () => {
    await runWithLink(async (link, socket) => {
      assert.equal(await sendEcho(socket, 'a'), 'a');
      link.setHarm({holdsBackward: true});
      let isBack = false;
      const echo = sendEcho(socket, 'bc').then((text) => {
        isBack = true;
        return text;
      });
      await new Promise((resolve) => setTimeout(resolve, 60));
      assert.equal(isBack, false);
      link.setHarm({});
      assert.equal(await echo, 'bc');
    });
  });

  it('resets its connections', async () => {
    await runWithLink(async (link, socket) => {
      assert.equal(await sendEcho(socket, 'a'), 'a');
      const closed = new Promise((resolve) => socket.once('close', resolve));
      link.closeAll();
      assert.equal(await closed, true);
    });
  });
});
