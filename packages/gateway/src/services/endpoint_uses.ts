/**
 * What runs on endpoints, as this host tells it and as others tell it: goes
 * between the records of endpoints and what hosts say to each other.
 */
import type {EngineLocation} from '@irisdock/decisions';
import type {EndpointUsageReport} from '../model/peer_message.js';
import type {EndpointUse} from '../serving/endpoint_record.js';
import type {GatewayEndpoints} from './gateway_endpoints.js';
import type {HostUses, UseRegistry} from './use_publisher.js';

/**
 * What it counts that an engine took no connection of another host, beside 1
 * for one of this host: the fault may be the other host's.
 */
const TOLD_LOSS_WEIGHT = 0.5;

/** What runs on endpoints. */
export class EndpointUses implements UseRegistry {
  /** Instance ids that a host told of last, by the name of the host. */
  private readonly toldBy = new Map<string, readonly string[]>();

  constructor(private readonly endpoints: GatewayEndpoints) {}

  get version(): number {
    return this.endpoints.version;
  }

  listEngines(): readonly EngineLocation[] {
    return [...this.endpoints.listAll()];
  }

  listLocalUses(): HostUses {
    const uses: Record<string, EndpointUse> = {};
    for (const record of this.endpoints.listAll()) {
      const use = record.getOwnUse();
      if (use.running > 0 || use.expectedTokens > 0) {
        uses[record.instanceId] = use;
      }
    }
    return uses;
  }

  findUseExcept(
    instanceId: string,
    host: string,
  ): EndpointUsageReport | undefined {
    const record = this.endpoints.find(instanceId);
    if (record?.isUsable !== true) return undefined;
    const use = record.getUseExcept(host);
    return {instanceId, ...use, failures: record.failureScore};
  }

  applyUses(host: string, uses: HostUses): void {
    for (const instanceId of this.toldBy.get(host) ?? []) {
      if (uses[instanceId] !== undefined) continue;
      this.endpoints.find(instanceId)?.setPeerUse(host, undefined);
    }
    const told = Object.keys(uses);
    for (const instanceId of told) {
      this.endpoints.find(instanceId)?.setPeerUse(host, uses[instanceId]);
    }
    if (told.length > 0) this.toldBy.set(host, told);
    else this.toldBy.delete(host);
  }

  applyLoss(instanceId: string): void {
    this.endpoints.find(instanceId)?.recordFailure(TOLD_LOSS_WEIGHT);
  }
}
