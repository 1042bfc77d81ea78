/** Servers whose requests are served in turn. */
import assert from 'node:assert/strict';
import type {Server, ServerResponse} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  createGuardedServer,
  RequestBacklog,
  type ServeMessage,
  type ServerGuard,
} from '@irisdock/kernel';

const GET = 'GET / HTTP/1.1\r\nHost: x\r\n\r\n';
const STALL_MS = 300;
const STEP_MS = 20;

/** What a guarded server does. */
class Played {
  readonly closes: string[] = [];
  readonly backlog = new RequestBacklog(2_000_000);
  readonly guard: ServerGuard = {
    backlog: this.backlog,
    maxStallMs: STALL_MS,
    handleClose: (reason) => this.closes.push(reason),
  };
}

async function runWithServer(
  played: Played,
  serve: ServeMessage,
  body: (open: () => Socket) => Promise<void>,
): Promise<void> {
  const server: Server = createGuardedServer(played.guard, serve);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const open = (): Socket => {
    const socket = connect(port, '127.0.0.1');
    return socket.on('error', () => undefined);
  };
  try {
    await body(open);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

async function waitClosed(socket: Socket): Promise<void> {
  while (!socket.closed) await sleep(STEP_MS);
}

describe('a guarded server', () => {
  it('answers the requests of a connection in turn', async () => {
    const held: ServerResponse[] = [];
    let count = 0;
    const serve: ServeMessage = (_, response) => {
      count++;
      held.push(response);
    };
    await runWithServer(new Played(), serve, async (open) => {
      const socket = open();
      socket.resume().write(GET.repeat(3));
      for (let served = 1; served <= 3; served++) {
        while (count < served) await sleep(STEP_MS);
        await sleep(STEP_MS);
        assert.equal(count, served);
        held.at(-1)?.end('1');
      }
    });
  });

  // Guards against requests sent ahead on many connections that fill the heap.
  it('closes the connections with the most waiting requests', async () => {
    const played = new Played();
    const serve: ServeMessage = (message, response) => {
      if (message.url === '/') response.end('1');
    };
    await runWithServer(played, serve, async (open) => {
      const hold = GET.replace('/', '/held');
      const few = open().on('close', () => played.closes.push('few'));
      few.resume().write(hold + GET);
      await sleep(STEP_MS);
      const many = Array.from({length: 8}, () => open());
      for (const socket of many) socket.resume().write(hold + GET.repeat(600));
      while (played.closes.length < 4) await sleep(STEP_MS);
      assert.ok(played.backlog.totalBytes <= 2_000_000);
      assert.ok(!played.closes.includes('few'));
    });
  });

  // Guards against connections that stay open for clients that read nothing.
  it('closes a connection whose answer is not read', async () => {
    const played = new Played();
    const serve: ServeMessage = (_, response) => {
      response.end(Buffer.alloc(64_000_000));
    };
    await runWithServer(played, serve, async (open) => {
      const socket = open();
      socket.once('readable', () => undefined);
      socket.write(GET);
      while (played.closes.length === 0) await sleep(STEP_MS);
      socket.resume();
      await waitClosed(socket);
      assert.deepEqual(played.closes, ['unread']);
    });
  });

  // Guards against an answer that is cut as it takes long to make.
  it('waits for an answer that is not complete yet', async () => {
    const serve: ServeMessage = (_, response) => {
      setTimeout(() => response.end('late'), 4 * STALL_MS);
    };
    await runWithServer(new Played(), serve, async (open) => {
      const socket = open();
      let text = '';
      socket.on('data', (part) => (text += part.toString()));
      socket.write(GET);
      while (!text.endsWith('late')) {
        assert.ok(!socket.closed, text);
        await sleep(STEP_MS);
      }
    });
  });
});
