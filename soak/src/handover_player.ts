/** Lets engines be silent while others fail new streams. */
import {setTimeout as sleep} from 'node:timers/promises';
import {SOAK_SERVICES} from '@irisdock/users-platform/fixtures';
import type {Disturbances} from './disturbances.js';
import type {EndpointFleet, EndpointInstance} from './endpoint_fleet.js';
import type {EndpointSilences} from './endpoint_silences.js';
import type {HandoverEvent} from './handover_plan.js';

/** What events are carried out on. */
export interface HandoverParts {
  readonly fleet: EndpointFleet;
  readonly failureDomains: readonly string[];
  readonly silences: EndpointSilences;
  /** Receives when new streams fail. */
  readonly streamFaults: Disturbances;
}

/** Streams still fail for so long when the silence is over, in ms. */
const LONGER_MS = 300;

/** Carries handover events out. */
export class HandoverPlayer {
  constructor(private readonly parts: HandoverParts) {}

  /** Carries out a plan; resolves when all of it is over. */
  async runAll(plan: readonly HandoverEvent[]): Promise<void> {
    await Promise.all(
      plan.map(async (event) => {
        await sleep(event.at);
        await this.run(event);
      }),
    );
  }

  private async run(event: HandoverEvent): Promise<void> {
    const {silent, failing} = this.choose(event);
    const {streamFault, silence, forMs} = event;
    const {streamFaults, silences} = this.parts;
    const span = streamFaults.start('endpoints', performance.now());
    for (const engine of failing) engine.streamFaults.push(streamFault);
    await silences.run(silent, silence, forMs);
    await sleep(LONGER_MS);
    for (const engine of failing) {
      engine.streamFaults.splice(engine.streamFaults.indexOf(streamFault), 1);
    }
    span.until = performance.now();
  }

  private choose({target, hasSound}: HandoverEvent): {
    silent: EndpointInstance[];
    failing: EndpointInstance[];
  } {
    const {fleet, failureDomains} = this.parts;
    const silentDomain = failureDomains[target % failureDomains.length];
    const nextDomain = failureDomains[(target + 1) % failureDomains.length];
    const engines = fleet.list(SOAK_SERVICES.streams);
    const isSilent = ({failureDomain}: EndpointInstance): boolean =>
      failureDomain === silentDomain;
    const isSound = ({failureDomain}: EndpointInstance): boolean =>
      hasSound && failureDomain === nextDomain;
    return {
      silent: engines.filter(isSilent),
      failing: engines.filter((one) => !isSilent(one) && !isSound(one)),
    };
  }
}
