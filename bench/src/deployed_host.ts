/** One gateway host as it is deployed, for measurements of its process. */
import {readFileSync} from 'node:fs';
import {createServer, type AddressInfo} from 'node:net';
import {fileURLToPath} from 'node:url';

/** The bundle that is deployed, from bench/dist/src/. */
export const DEPLOYED_PROGRAM = fileURLToPath(
  new URL('../../../target/irisdock-start.mjs', import.meta.url),
);
/** How the program is started where it is deployed. */
export const DEPLOYED_FLAGS = [
  '--max-old-space-size=120',
  '--max-semi-space-size=2',
  '--no-memory-reducer',
] as const;

/** Where a host listens, each as `ip:port`. */
export interface HostPlaces {
  readonly front: string;
  readonly directory: string;
  readonly readiness: string;
  readonly tables: string;
  readonly datagrams: string;
  readonly metrics: string;
}

/** Finds free ports of the loopback. */
export async function findPlaces(): Promise<HostPlaces> {
  return {
    front: await findPlace(),
    directory: await findPlace(),
    readiness: await findPlace(),
    tables: await findPlace(),
    datagrams: await findPlace(),
    metrics: await findPlace(),
  };
}

/** The deployment of the measured host and its stand-in peers. */
export const DEPLOYMENT = 'measured';

/** Writes the settings of a host. */
export function formatHostSettings(
  places: HostPlaces,
  store: string,
  seed: string,
): string {
  const {front, directory, readiness, tables, datagrams, metrics} = places;
  return [
    '[host]\nname = "measured-host"\nfailureDomain = "domain-0"',
    `deployment = "${DEPLOYMENT}"`,
    `[store]\naddress = "${store}"`,
    '[phase]\ngraceSeconds = 1',
    `[peers]\nlisten = "${datagrams}"`,
    `datagramAddress = "${datagrams}"`,
    `tableAddress = "${tables}"`,
    `callerAddress = "${front}"`,
    `seeds = "${seed}"`,
    `[peerTables]\nlisten = "${tables}"`,
    `[front]\nlisten = "${front}"`,
    `[metrics]\nlisten = "${metrics}"`,
    `[directory]\nlisten = "${directory}"`,
    `readinessListen = "${readiness}"\n`,
  ].join('\n');
}

/** Gives how often a process has given up the processor to wait. */
export function countWakes(pid: number): number {
  const text = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/^voluntary_ctxt_switches:\s+(\d+)/m.exec(text)?.[1] ?? 0);
}

async function findPlace(): Promise<string> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  server.close();
  return `127.0.0.1:${port}`;
}
