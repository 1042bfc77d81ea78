/** Starts a server at a place. */
import type {Server} from 'node:http';
import {splitPlace} from '@irisdock/kernel';

/** Listens at `ip:port`; rejects when the place is taken. */
export async function startListening(
  server: Server,
  place: string,
): Promise<void> {
  const {host, port} = splitPlace(place);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}
