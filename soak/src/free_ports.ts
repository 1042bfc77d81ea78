/**
 * Ports for hosts. They lie below those that the kernel gives to outgoing
 * connections, as a host that is started again needs its own back, and none is
 * given twice, as a host takes a while to listen at its own.
 */
import {randomInt} from 'node:crypto';
import {createSocket} from 'node:dgram';
import {createServer} from 'node:net';

/** Linux gives ports from 32,768 on to outgoing connections. */
const LEAST_PORT = 10_000;
const PORT_RANGE = 22_000;
/**
 * Of these ports, the one that `fetch` refuses to ask, as the fetch standard says;
 * a host that is asked there never looks ready.
 */
const BLOCKED_PORT = 10_080;

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
    // Hosts listen for datagrams too, and other soaks may run beside this one.
    if ((await isFree(port)) && (await isFreeForDatagrams(port))) {
      ports.push(port);
    }
  }
  return ports;
}

async function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      server.close(() => {
        resolve(true);
      });
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
    socket.bind(port, '127.0.0.1', () => {
      socket.close(() => {
        resolve(true);
      });
    });
  });
}
