/** What tests of entry hosts share. */
import type {AddressAnswer, DaemonNode} from './deployment_types.js';
import {createDeployment, type Deployment} from './deployment.js';
import {getJson} from './http.js';
import {waitUntil} from './wait.js';

interface HostStates {
  readonly hosts: readonly {
    readonly callerAddress: string;
    readonly state: string;
  }[];
}

const HOSTS = 3;
const ENGINES = 3;

/** Starts three hosts whose address answers are kept for a moment only. */
export async function createHostDeployment(): Promise<Deployment> {
  return createDeployment({
    daemons: HOSTS,
    engines: ENGINES,
    engineArgs: ['--engine-step-ms', '10'],
    daemonArgs: ['--callers-keep-address-seconds', '0.2'],
  });
}

/** Creates a request id that is bound to a host. */
export async function createIdOf(host: DaemonNode): Promise<string> {
  const url = `http://${host.places.caller}/v1/addresses?ids=1`;
  let requestId = '';
  // An answer names a few hosts in random order, perhaps not this one.
  await waitUntil('an answer names the host', async () => {
    const {addresses} = await getJson<AddressAnswer>(url);
    const own = addresses.find((a) => a.address === host.places.caller);
    requestId = own?.requestIds[0] ?? '';
    return requestId !== '';
  });
  return requestId;
}

/** Gives the state in which one host sees another. */
export async function getStateSeen(
  seenBy: DaemonNode,
  of: DaemonNode,
): Promise<string> {
  const url = `http://${seenBy.places.operator}/v1/status`;
  const {hosts} = await getJson<HostStates>(url);
  const seen = hosts.find((h) => h.callerAddress === of.places.caller);
  return seen?.state ?? '';
}

/** Waits until one host takes another for dead. */
export async function waitDead(
  seenBy: DaemonNode,
  dead: DaemonNode,
): Promise<void> {
  await waitUntil('the host counts as dead', async () => {
    return (await getStateSeen(seenBy, dead)) === 'dead';
  });
}

/** Starts hosts and engines until there are as many as before a failure. */
export async function addMissingNodes(deployment: Deployment): Promise<void> {
  const live = deployment.liveDaemons;
  deployment.daemons.splice(0, deployment.daemons.length, ...live);
  while (deployment.daemons.length < HOSTS) await deployment.addDaemon();
  await deployment.addEnginesUntil(ENGINES);
}
