/**
 * Guards against callers that query addresses without a pause while no host
 * serves: 50 callers sent 250 to 580 queries per second and used up the event
 * loop of the soak, through which the hosts reach the store.
 */
import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import {describe, it} from 'node:test';
import {SeededRandom} from '@irisdock/kernel';
import {AddressBook} from '@irisdock/soak';

const ASKED_MS = 600;
const HOST = '127.0.0.1:1';

interface Directory {
  readonly address: string;
  /** Whether its host serves; without it, no address is named. */
  isServing: boolean;
  queries: number;
  stop(): void;
}

async function startDirectory(): Promise<Directory> {
  const server = createServer((_, response) => {
    directory.queries++;
    const {isServing} = directory;
    response.writeHead(isServing ? 200 : 503);
    response.end(isServing ? JSON.stringify({addresses: [HOST]}) : '');
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as {port: number};
  const directory: Directory = {
    address: `127.0.0.1:${port}`,
    isServing: false,
    queries: 0,
    stop() {
      server.close();
      server.closeAllConnections();
    },
  };
  return directory;
}

/** Chooses addresses for a while; returns the last one. */
async function chooseForAWhile(book: AddressBook): Promise<string | undefined> {
  const until = performance.now() + ASKED_MS;
  let address: string | undefined;
  while (address === undefined && performance.now() < until) {
    address = await book.choose();
  }
  return address;
}

describe('a caller that no host serves', () => {
  it('pauses longer after each query, until a host is named', async () => {
    const directory = await startDirectory();
    const hosts = [{directoryAddress: directory.address}];
    const book = new AddressBook(hosts, new SeededRandom(1), 0);
    assert.equal(await chooseForAWhile(book), undefined);
    assert.ok(directory.queries <= 6, `${directory.queries} queries`);
    directory.isServing = true;
    assert.equal(await chooseForAWhile(book), HOST);
    directory.isServing = false;
    directory.queries = 0;
    book.drop(HOST);
    await chooseForAWhile(book);
    directory.stop();
    assert.ok(directory.queries >= 3, `${directory.queries} queries`);
  });

  it('does not pause when it checks that hosts serve again', async () => {
    const directory = await startDirectory();
    const hosts = [{directoryAddress: directory.address}];
    const book = new AddressBook(hosts, new SeededRandom(1), 0, false);
    await chooseForAWhile(book);
    directory.stop();
    assert.ok(directory.queries > 6, `${directory.queries} queries`);
  });
});
