/** Starts a server at a place. */
import type {Server} from 'node:http';

/** Listens at `ip:port`; rejects when the place is taken. */
export async function startListening(
  server: Server,
  place: string,
): Promise<void> {
  const colon = place.lastIndexOf(':');
  const ip = place.slice(0, colon);
  const port = Number(place.slice(colon + 1));
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, resolve);
  });
}
