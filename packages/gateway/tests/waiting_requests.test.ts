/** How many requests wait on one connection of a caller. */
import assert from 'node:assert/strict';
import {createServer, type ServerResponse} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {RoarrLogger} from '@irisdock/kernel';
import {CallerConnections} from '../src/channels/caller_connections.js';

const REQUESTS = 20_000;
const REQUEST = 'POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok';
/** One read of a connection brings at most so many bytes. */
const READ_BYTES = 65_536;
const MAX_WAITING = 100 + Math.ceil(READ_BYTES / REQUEST.length);
/** More than a host takes to read all that it will, in ms. */
const READ_MS = 300;
/** When a test whose requests are never answered ends, in ms. */
const TEST_LIMIT = {timeout: 60_000};
const LIMITS = {headerTimeoutMs: 5000, idleTimeoutMs: 5000};

/** The requests that a server has accepted. */
class Requests {
  accepted = 0;
  maxWaiting = 0;
  isHeld = true;
  private answered = 0;
  private held: ServerResponse | undefined;

  /** Serves a request; the first one is held. */
  serve(response: ServerResponse): void {
    if (this.isHeld) this.held = response;
    else this.finish(response);
  }

  countAccepted(): void {
    this.accepted++;
    const waiting = this.accepted - this.answered;
    this.maxWaiting = Math.max(this.maxWaiting, waiting);
  }

  release(): void {
    this.isHeld = false;
    if (this.held !== undefined) this.finish(this.held);
  }

  private finish(response: ServerResponse): void {
    this.answered++;
    response.end('1');
  }
}

async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms));
}

// Guards against a process that runs out of memory by the requests of one
// caller that sends them without waiting for answers.
describe('requests behind one that is not answered', () => {
  it(
    'are read only as far as few wait, and are answered in the end',
    TEST_LIMIT,
    async () => {
      const requests = new Requests();
      const server = createServer((message, response) => {
        requests.countAccepted();
        connections.accept(message, response, () => {
          message.resume();
          requests.serve(response);
          return undefined;
        });
      });
      const log = new RoarrLogger('test', 'off');
      const connections = new CallerConnections(server, LIMITS, log, () => {
        assert.fail('a request was refused');
      });
      await new Promise<void>((resolve) => {
        server.listen(0, '127.0.0.1', resolve);
      });
      const socket = connect(
        (server.address() as AddressInfo).port,
        '127.0.0.1',
      );
      let text = '';
      socket.on('data', (part) => (text += part.toString()));
      socket.write(REQUEST.repeat(REQUESTS));
      await pause(READ_MS);
      assert.ok(requests.accepted > 1);
      assert.ok(requests.accepted <= MAX_WAITING, `${requests.accepted}`);
      requests.release();
      while (requests.accepted < REQUESTS) await pause(READ_MS / 10);
      while (countAnswers(text) < REQUESTS) await pause(READ_MS / 10);
      assert.ok(requests.maxWaiting <= MAX_WAITING, `${requests.maxWaiting}`);
      socket.destroy();
      connections.closeAll();
    },
  );
});

function countAnswers(text: string): number {
  return text.split('HTTP/1.1 200').length - 1;
}
