/** Starts an HTTP server. */
import type {Server} from 'node:http';
import {splitPlace} from '@irisdock/kernel';

/** Listens on `ip:port`; rejects when the address is in use. */
export async function startListening(
  server: Server,
  address: string,
): Promise<void> {
  const {host, port} = splitPlace(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}
