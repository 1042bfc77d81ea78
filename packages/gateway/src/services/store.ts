/**
 * The service keys under which an adapter provides the store and the codecs to
 * the services of this package.
 */
import {createServiceKey} from '@irisdock/kernel';
import type {EndpointEntry} from '../model/endpoint_entry.js';
import type {
  KvCacheCopyCodec,
  EngineReportCodec,
  HeaderCodec,
  PromptCacheCodec,
} from '../model/request_metadata.js';
import type {RolloutCodec} from '../model/rollout_order.js';
import type {ServingConfiguration} from '../model/serving_configuration.js';
import type {TaskStore} from '../model/singleton_task.js';
import type {RowCodec, TableStore} from '../model/table_store.js';

/** The adapter's codecs for headers, rows and messages of other programs. */
export interface Codecs {
  readonly headers: HeaderCodec;
  readonly copies: KvCacheCopyCodec;
  readonly keptPrompts: PromptCacheCodec;
  readonly engineReports: EngineReportCodec;
  readonly configuration: RowCodec<ServingConfiguration>;
  readonly endpoints: RowCodec<EndpointEntry>;
  readonly rollouts: RolloutCodec;
  /** The paths for address lists and readiness checks on this host. */
  readonly paths: {readonly addresses: string; readonly readiness: string};
  /**
   * Reads a caller's failure domain from its query for addresses; undefined
   * when the query does not contain it.
   */
  decodeCallerDomain(query: string): string | undefined;
  /** Encodes the answer to a query for addresses. */
  encodeAddresses(addresses: readonly string[], keepSeconds: number): string;
}

/** The key of the store. */
export const STORE = createServiceKey<TableStore & TaskStore>('store');
/** The key of the codecs. */
export const CODECS = createServiceKey<Codecs>('codecs');
