/** The failures that a hunt draws from, and what must hold of planned ones. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {SeededRandom} from '@irisdock/kernel';
import type {DaemonNode, Deployment} from '@irisdock/testkit';

/** Hosts at the start of a play. */
export const DAEMONS = 3;
/** Engines at the start of a play. */
export const ENGINES = 4;
const DRAIN_MS = 30_000;

/** Brings a failure about, and ends it if it ends. */
export type Failure = (
  deployment: Deployment,
  random: SeededRandom,
) => Promise<void>;
/** Failures by name. */
export type FailureKinds = Readonly<Record<string, Failure>>;

/** Crashes, freezes and outages. */
export const CRASHES: FailureKinds = {
  killEngine: async (deployment, random) => {
    const live = deployment.liveEngines;
    if (live.length <= 2) return;
    await live[random.getInt(live.length)]?.process.kill();
  },
  freezeEngine: async (deployment, random) => {
    const engine = deployment.engines[random.getInt(ENGINES)];
    engine?.process.sendSignal('SIGSTOP');
    await sleep(200 + random.getInt(2000));
    engine?.process.sendSignal('SIGCONT');
  },
  spoilEngine: async (deployment, random) => {
    const engine = deployment.engines[random.getInt(ENGINES)];
    if (engine === undefined || engine.process.isExited) return;
    const names = ['cutAfter', 'repeat', 'skip', 'cross', 'stale', 'loseEnd'];
    const name = names[random.getInt(names.length)] ?? 'skip';
    const faults = {[name]: 1 + random.getInt(5)};
    // A frozen engine does not answer; the fault is then set when it thaws.
    await Promise.race([deployment.setFaults(engine, faults), sleep(300)]);
  },
  killHost: async (deployment, random) => {
    const live = deployment.liveDaemons;
    if (live.length <= 2) return;
    await live[random.getInt(live.length)]?.process.kill();
  },
  freezeHost: async (deployment, random) => {
    const host = deployment.daemons[random.getInt(DAEMONS)];
    host?.process.sendSignal('SIGSTOP');
    await sleep(200 + random.getInt(2500));
    host?.process.sendSignal('SIGCONT');
  },
  stopPlatform: async (deployment, random) => {
    await deployment.setPlatformFaults({outage: true});
    await sleep(500 + random.getInt(3000));
    await deployment.setPlatformFaults({outage: false});
  },
};

/** Processes of hosts that were told to leave. */
const DRAINED = new WeakSet<DaemonNode['process']>();

/** Planned work: hosts and engines that leave, hosts that join. */
const PLANNED_WORK: FailureKinds = {
  drainHost: async (deployment, random) => {
    const live = listStaying(deployment);
    if (live.length <= 2) return;
    const host = live[random.getInt(live.length)];
    if (host === undefined) return;
    DRAINED.add(host.process);
    host.process.sendSignal('SIGTERM');
    await sleep(0);
  },
  addHost: async (deployment) => {
    await deployment.addDaemon();
    await deployment.publishHosts();
  },
  leaveEngine: async (deployment, random) => {
    const live = deployment.liveEngines;
    const engine = live[random.getInt(live.length)];
    if (engine === undefined || live.length <= 2) return;
    engine.state = 'leaving';
    await deployment.publishHosts();
    await sleep(1000 + random.getInt(1500));
    engine.state = 'live';
    await deployment.publishHosts();
  },
};

/** All failures. */
export const ALL_FAILURES: FailureKinds = {...CRASHES, ...PLANNED_WORK};

function listStaying(deployment: Deployment): DaemonNode[] {
  return deployment.liveDaemons.filter(({process}) => !DRAINED.has(process));
}

/** Checks that hosts told to leave have left by themselves, with 0. */
export async function checkDrains(deployment: Deployment): Promise<string[]> {
  const faults: string[] = [];
  for (const {process} of deployment.daemons) {
    if (!DRAINED.has(process)) continue;
    const timeout = sleep(DRAIN_MS, undefined, {ref: false});
    const exit = await Promise.race([process.exited, timeout]);
    // One that was killed as well ended by that signal.
    if (exit?.code === 0 || exit?.signal === 'SIGKILL') continue;
    const how = exit === undefined ? 'did not end' : `ended with ${exit.code}`;
    faults.push(`a host told to leave ${how}: ${process.log.slice(-300)}`);
  }
  return faults;
}
