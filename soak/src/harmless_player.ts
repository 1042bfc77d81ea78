/** Carries harmless events out on the deployment of a play. */
import {setTimeout as sleep} from 'node:timers/promises';
import {SOAK_SERVICES} from '@irisdock/users-platform/fixtures';
import type {ConfigurationWitness} from './configuration_witness.js';
import type {EndpointFleet} from './endpoint_fleet.js';
import type {EndpointSilences} from './endpoint_silences.js';
import type {HarmlessEvent} from './harmless_plan.js';
import type {HostProcess} from './host_process.js';

/** What events are carried out on. */
export interface HarmlessParts {
  readonly hosts: readonly HostProcess[];
  readonly fleet: EndpointFleet;
  readonly failureDomains: readonly string[];
  readonly configuration: ConfigurationWitness;
  readonly silences: EndpointSilences;
}

/** Carries harmless events out. */
export class HarmlessPlayer {
  constructor(private readonly parts: HarmlessParts) {}

  /** Carries out a plan; resolves when all of it is over. */
  async runAll(plan: readonly HarmlessEvent[]): Promise<void> {
    await Promise.all(
      plan.map(async (event) => {
        await sleep(event.at);
        await this.run(event);
      }),
    );
  }

  private async run(event: HarmlessEvent): Promise<void> {
    const {hosts, configuration, failureDomains} = this.parts;
    const {calls, streams} = SOAK_SERVICES;
    const domain = failureDomains[event.target % failureDomains.length];
    switch (event.kind) {
      case 'engines silent':
        await this.runSilence(event, streams);
        return;
      case 'engine domain silent':
        await this.runSilence(event, streams, domain);
        return;
      case 'plain endpoints silent':
        await this.runSilence(event, calls);
        return;
      case 'plain domain silent':
        await this.runSilence(event, calls, domain);
        return;
      case 'hosts told to reread':
        for (const host of hosts) host.sendReload();
        return;
      case 'configuration changed in series':
        configuration.commitNext();
    }
  }

  /** Silences the endpoints of a service, or those in one failure domain. */
  private async runSilence(
    {forMs}: HarmlessEvent,
    service: string,
    domain?: string,
  ): Promise<void> {
    const {fleet, silences} = this.parts;
    const all = fleet.list(service);
    const silent = all.filter(
      ({failureDomain}) => domain === undefined || failureDomain === domain,
    );
    await silences.run(silent, 'frozen', forMs);
  }
}
