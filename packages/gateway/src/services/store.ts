/**
 * The names under which an adapter gives the services of this package their
 * store and their codecs.
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
import type {RowCodec, TableStore} from '../model/table_store.js';

/** How an adapter reads what others write. */
export interface Codecs {
  readonly headers: HeaderCodec;
  readonly copies: KvCacheCopyCodec;
  readonly keptPrompts: PromptCacheCodec;
  readonly engineReports: EngineReportCodec;
  readonly configuration: RowCodec<ServingConfiguration>;
  readonly endpoints: RowCodec<EndpointEntry>;
  readonly rollouts: RolloutCodec;
  /** The paths at which this host answers questions about itself. */
  readonly paths: {readonly addresses: string; readonly readiness: string};
  /**
   * Gives the failure domain of the caller that asks for addresses; undefined
   * when its query does not say.
   */
  decodeCallerDomain(query: string): string | undefined;
  /** Writes the answer to a caller that asks for addresses. */
  encodeAddresses(addresses: readonly string[], keepSeconds: number): string;
}

/** The key of the store. */
export const STORE = createServiceKey<TableStore>('store');
/** The key of the codecs. */
export const CODECS = createServiceKey<Codecs>('codecs');
