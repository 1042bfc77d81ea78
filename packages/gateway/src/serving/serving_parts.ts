/** Dependencies that the drivers of requests share. */
import type {BodyMemory, Clock, Logger, Random} from '@irisdock/kernel';
import type {EndpointClient} from '../channels/endpoint_client.js';
import type {KvCacheCopyCodec, HeaderCodec} from '../model/request_metadata.js';
import type {GatewayConfiguration} from '../services/configuration.js';
import type {GatewayEndpoints} from '../services/gateway_endpoints.js';
import type {BegunRequests} from './begun_requests.js';
import type {CrashRecords} from './crash_records.js';
import type {DemandMeter} from './demand_meter.js';
import type {EndpointPaths} from './endpoint_paths.js';
import type {EngineClient} from './engine_client.js';
import type {PromptCacheFinder} from './prompt_cache_finder.js';
import type {LateRefusals} from './late_refusals.js';
import type {LostRuns} from './lost_runs.js';
import type {RetryBudgets} from './retry_budgets.js';
import type {RequestRelay} from './request_relay.js';
import type {Rollouts} from './rollouts.js';
import type {SendGate} from './send_gate.js';
import type {ServingMetrics} from './serving_metrics.js';
import type {SuccessorFinder} from './successors.js';
import type {StreamOrigins} from './origin_lookup.js';
import type {RunLeases} from './suspect_run.js';
import type {VersionHistory} from './version_history.js';

/** Dependencies of the drivers of requests. */
export interface ServingParts {
  readonly clock: Clock;
  /** When this host started, in ms of the clock. */
  readonly startedAt: number;
  readonly random: Random;
  readonly log: Logger;
  readonly codec: HeaderCodec;
  /** The memory for the bodies of requests. */
  readonly bodies: BodyMemory;
  readonly copyCodec: KvCacheCopyCodec;
  readonly client: EndpointClient;
  readonly engineClient: EngineClient;
  readonly successors: SuccessorFinder;
  readonly promptCaches: PromptCacheFinder;
  readonly configuration: GatewayConfiguration;
  readonly endpoints: GatewayEndpoints;
  readonly retryBudgets: RetryBudgets;
  readonly rollouts: Rollouts;
  readonly crashes: CrashRecords;
  readonly runLeases: RunLeases;
  readonly origins: StreamOrigins;
  readonly versions: VersionHistory;
  readonly gate: SendGate;
  readonly paths: EndpointPaths;
  readonly relay: RequestRelay;
  readonly lateRefusals: LateRefusals;
  readonly lostRuns: LostRuns;
  readonly metrics: ServingMetrics;
  readonly begunRequests: BegunRequests;
  readonly demand: DemandMeter;
}

/** The number of distinct values of a random fraction. */
const RANDOM_STEPS = 1_000_000;

/** Returns a random number in [0, 1). */
export function getRandomFraction(random: Random): number {
  return random.getInt(RANDOM_STEPS) / RANDOM_STEPS;
}
