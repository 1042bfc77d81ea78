/**
 * What runs on endpoints: reads this host's use from the endpoint records for
 * other hosts, and writes the use that other hosts report into the records.
 */
import type {EngineLocation} from '@irisdock/decisions';
import type {EndpointUsageReport} from '../model/peer_message.js';
import type {EndpointUse} from '../serving/endpoint_record.js';
import type {GatewayEndpoints} from './gateway_endpoints.js';
import type {HostUses, UseRegistry} from './use_publisher.js';

/**
 * The weight of a failed connection from another host to an engine; one from
 * this host has the weight 1. The fault may lie with the other host.
 */
const REMOTE_LOSS_WEIGHT = 0.5;

/** Connects the use reports of hosts with the endpoint records. */
export class EndpointUses implements UseRegistry {
  /** The instance ids in each host's last report, by host name. */
  private readonly reportedBy = new Map<string, readonly string[]>();

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
    for (const instanceId of this.reportedBy.get(host) ?? []) {
      if (uses[instanceId] !== undefined) continue;
      this.endpoints.find(instanceId)?.setPeerUse(host, undefined);
    }
    const reported = Object.keys(uses);
    for (const instanceId of reported) {
      this.endpoints.find(instanceId)?.setPeerUse(host, uses[instanceId]);
    }
    if (reported.length > 0) this.reportedBy.set(host, reported);
    else this.reportedBy.delete(host);
  }

  applyLoss(instanceId: string): void {
    this.endpoints.find(instanceId)?.recordFailure(REMOTE_LOSS_WEIGHT);
  }
}
