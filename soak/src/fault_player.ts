/** Carries faults out on the deployment of a play, and tells of each. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {
  StoreFaults,
  StoreStandin,
} from '@irisdock/users-platform/fixtures';
import type {ConfigurationWitness} from './configuration_witness.js';
import type {DisturbedPart, Disturbances} from './disturbances.js';
import {FIRST_ORDERED_PLACE, type EndpointFleet} from './endpoint_fleet.js';
import {FAULT_KINDS, type FaultKind, type PlannedFault} from './fault_plan.js';
import type {HostProcess} from './host_process.js';
import type {LinkHarm, TcpLink} from './tcp_link.js';

/** What faults are carried out on. */
export interface PlayedDeployment {
  readonly hosts: readonly HostProcess[];
  readonly fleet: EndpointFleet;
  readonly places: number;
  readonly domains: number;
  readonly store: StoreStandin;
  readonly configuration: ConfigurationWitness;
  readonly disturbances: Disturbances;
}

const SLOW_STORE_MS = 250;
const SLOW_LINK_MS = 120;

/** How the store fails towards all, by the kind of fault. */
const STORE_HARMS: ReadonlyMap<FaultKind, StoreFaults> = new Map([
  ['store unavailable', {status: 503}],
  ['store silent', {isSilent: true}],
  ['store slow', {delayMs: SLOW_STORE_MS}],
  ['store loses answers', {losesAnswers: true}],
]);

/** Carries faults out. */
export class FaultPlayer {
  constructor(private readonly parts: PlayedDeployment) {}

  /** Carries one fault out; resolves when it is over. */
  async run(fault: PlannedFault): Promise<void> {
    const part = FAULT_KINDS[fault.kind];
    switch (part) {
      case 'host':
        await this.runHostFault(fault);
        return;
      case 'store link':
        await this.runHostLinkFault(fault, 'store');
        return;
      case 'caller link':
        await this.runHostLinkFault(fault, 'callers');
        return;
      case 'store':
        await this.runStoreFault(fault);
        return;
      case 'endpoint':
        await this.runEndpointFault(fault);
        return;
      case 'configuration':
        this.parts.configuration.commitNext();
    }
  }

  private getHost(fault: PlannedFault): HostProcess {
    const {hosts} = this.parts;
    const host = hosts[fault.target % hosts.length];
    if (host === undefined) throw new Error('A play has at least one host.');
    return host;
  }

  private async runHostFault(fault: PlannedFault): Promise<void> {
    const host = this.getHost(fault);
    const {name} = host;
    const {forMs} = fault;
    switch (fault.kind) {
      case 'host killed':
        await this.runDisturbed('hosts', name, () => host.kill(forMs));
        return;
      case 'host stopped':
        await this.runDisturbed('hosts', name, () => host.stopPlanned(), true);
        return;
      case 'host told to reread':
        host.sendReload();
        return;
      case 'hosts killed together':
        await this.runDisturbed('hosts', undefined, async () => {
          await Promise.all(this.parts.hosts.map((one) => one.kill(forMs)));
        });
        return;
      case 'host links cut':
      case 'host links cut one way':
        await this.closeHostLinks(host, fault);
        return;
      default:
        await this.runDisturbed('hosts', name, async () => {
          host.sendSignal('SIGSTOP');
          await sleep(forMs);
          host.sendSignal('SIGCONT');
        });
    }
  }

  /** Cuts a host from the others; one way, it is heard and hears nothing. */
  private async closeHostLinks(
    host: HostProcess,
    {kind, forMs}: PlannedFault,
  ): Promise<void> {
    const others = this.parts.hosts.filter((one) => one !== host);
    const isOneWay = kind === 'host links cut one way';
    await this.runDisturbed('hosts', host.name, async () => {
      const {datagramLink, datagramPort} = host;
      if (datagramLink !== undefined) datagramLink.dropsAll = true;
      host.tableLink.setHarm({holdsForward: true});
      for (const other of isOneWay ? [] : others) {
        other.datagramLink?.droppedPorts.add(datagramPort);
      }
      await sleep(forMs);
      if (datagramLink !== undefined) datagramLink.dropsAll = false;
      host.tableLink.setHarm({});
      for (const other of others) {
        other.datagramLink?.droppedPorts.delete(datagramPort);
      }
    });
  }

  private async runHostLinkFault(
    fault: PlannedFault,
    part: 'callers' | 'store',
  ): Promise<void> {
    const host = this.getHost(fault);
    const link = part === 'store' ? host.storeLink : host.callerLink;
    await this.runDisturbed(part, host.name, () => applyHarm(link, fault));
  }

  private async runStoreFault({kind, forMs}: PlannedFault): Promise<void> {
    const {store} = this.parts;
    if (kind === 'store forgets') {
      await this.runDisturbed('store', undefined, () => {
        store.dropHistory();
        return Promise.resolve();
      });
      return;
    }
    const harm = STORE_HARMS.get(kind) ?? {};
    await this.runDisturbed('store', undefined, async () => {
      Object.assign(store.faults, harm);
      await sleep(forMs);
      for (const name of Object.keys(harm)) {
        Reflect.deleteProperty(store.faults, name);
      }
    });
  }

  private async runEndpointFault(fault: PlannedFault): Promise<void> {
    const {fleet, places, domains} = this.parts;
    const place = fault.target % places;
    const {kind, forMs} = fault;
    if (kind === 'endpoint replaced') {
      await fleet.drain(place);
      return;
    }
    await this.runDisturbed('endpoints', undefined, async () => {
      if (kind === 'endpoint crashed') await fleet.kill(place, forMs);
      else if (kind === 'failure domain crashed') {
        await this.killDomain(fault.target % domains, forMs);
      } else {
        const instance = fleet.find(place);
        if (instance === undefined) return;
        instance.harmedUntil = Infinity;
        await applyHarm(instance.link, fault);
        instance.harmedUntil = performance.now();
      }
    });
  }

  private async killDomain(domain: number, forMs: number): Promise<void> {
    const {fleet, places, domains} = this.parts;
    const crashes: Promise<void>[] = [];
    for (const place of fleet.listPlaces()) {
      const isHit = place < places || place >= FIRST_ORDERED_PLACE;
      if (!isHit || place % domains !== domain) continue;
      crashes.push(fleet.kill(place, forMs));
    }
    await Promise.all(crashes);
  }

  private async runDisturbed(
    part: DisturbedPart,
    host: string | undefined,
    body: () => Promise<void>,
    isPlanned = false,
  ): Promise<void> {
    const disturbance = this.parts.disturbances.start(part, performance.now(), {
      ...(host === undefined ? {} : {host}),
      isPlanned,
    });
    await body();
    disturbance.until = performance.now();
  }
}

async function applyHarm(link: TcpLink, fault: PlannedFault): Promise<void> {
  const {kind, forMs} = fault;
  if (kind.endsWith('reset')) {
    link.closeAll();
    return;
  }
  link.setHarm(createHarm(kind));
  await sleep(forMs);
  link.setHarm({});
}

function createHarm(kind: PlannedFault['kind']): LinkHarm {
  if (kind.endsWith('one way')) return {holdsBackward: true};
  if (kind.endsWith('slow')) return {delayMs: SLOW_LINK_MS};
  return {holdsForward: true, holdsBackward: true};
}
