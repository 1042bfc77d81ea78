/**
 * Ports for hosts. They lie below those that the kernel gives to outgoing
 * connections, as a host that is started again needs its own back, and none is
 * given twice, as a host takes a while to listen at its own. Soaks beside each
 * other claim theirs for as long as they run, as a host that is down does not
 * listen.
 */
import {randomInt} from 'node:crypto';
import {createSocket} from 'node:dgram';
import {createServer, type Server} from 'node:net';

/** Linux gives ports from 32,768 on to outgoing connections. */
const LEAST_PORT = 10_000;
const PORT_RANGE = 22_000;
/**
 * Of these ports, the one that `fetch` refuses to ask, as the fetch standard says;
 * a host that is asked there never looks ready.
 */
const BLOCKED_PORT = 10_080;

const HOST_ADDRESS = '127.0.0.1';
/** Who listens at a port of this address has claimed it for hosts. */
const CLAIM_ADDRESS = '127.0.0.2';

const GIVEN = new Set<number>();

/**
 * Takes ports that nobody listens at.
 *
 * @param draw Gives a random number below a bound.
 */
export async function takeFreePorts(
  count: number,
  draw: (bound: number) => number = randomInt,
): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = LEAST_PORT + draw(PORT_RANGE);
    if (port === BLOCKED_PORT || GIVEN.has(port)) continue;
    GIVEN.add(port);
    if (!(await tryClaim(port))) continue;
    // Hosts listen for datagrams too.
    if ((await isFree(port)) && (await isFreeForDatagrams(port))) {
      ports.push(port);
    }
  }
  return ports;
}

/** Claims a port until this process ends; returns false if another one has. */
async function tryClaim(port: number): Promise<boolean> {
  const claim = await tryListen(port, CLAIM_ADDRESS);
  claim?.unref();
  return claim !== undefined;
}

async function isFree(port: number): Promise<boolean> {
  const server = await tryListen(port, HOST_ADDRESS);
  if (server === undefined) return false;
  return new Promise((resolve) => {
    server.close(() => {
      resolve(true);
    });
  });
}

async function tryListen(
  port: number,
  address: string,
): Promise<Server | undefined> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'EADDRINUSE') resolve(undefined);
      else reject(error);
    });
    server.listen(port, address, () => {
      resolve(server);
    });
  });
}

async function isFreeForDatagrams(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = createSocket('udp4');
    socket.once('error', () => {
      socket.close();
      resolve(false);
    });
    socket.bind(port, HOST_ADDRESS, () => {
      socket.close(() => {
        resolve(true);
      });
    });
  });
}
