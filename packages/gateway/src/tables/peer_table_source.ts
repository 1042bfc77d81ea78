/** The client side of `peer_tables.ts`: requests tables from other hosts. */
import {err, ok, type Result} from 'neverthrow';
import type {TableRevisions} from '../model/peer_message.js';
import {
  OTHER_DEPLOYMENT_STATUS,
  PEER_TABLES_PATH,
  PEER_TABLES_ANSWER_SCHEMA,
  type PeerTables,
} from '../model/peer_tables_message.js';
import {JsonClient} from '../channels/json_client.js';

const LOAD_TIMEOUT_MS = 800;
const OTHER_DEPLOYMENT = 'the host belongs to another deployment';

/** What is requested from a host. */
export interface PeerTablesRequest {
  /** By table, the revision after which to load changes; -1 for all rows. */
  readonly after: Partial<TableRevisions>;
  /** Whether to include the list of hosts. */
  readonly withHosts: boolean;
  /**
   * The failure domain of this host, if the answer may name hosts of its region
   * instead of having the tables.
   */
  readonly domain?: string | undefined;
}

/** Loads the tables of other hosts. */
export interface PeerTableSource {
  /** Loads from the host at `ip:port`; an error says why that failed. */
  load(
    address: string,
    request: PeerTablesRequest,
  ): Promise<Result<PeerTables, string>>;
  close(): void;
}

/** Loads tables over HTTP. */
export class HttpPeerTableSource implements PeerTableSource {
  private readonly client = new JsonClient();

  /** @param deployment The tag of this deployment (`PeerFrame.tag`). */
  constructor(private readonly deployment: string) {}

  async load(
    address: string,
    request: PeerTablesRequest,
  ): Promise<Result<PeerTables, string>> {
    const {deployment} = this;
    const query = new URLSearchParams({deployment});
    if (request.withHosts) query.set('hosts', 'all');
    if (request.domain !== undefined) query.set('domain', request.domain);
    for (const [table, after] of Object.entries(request.after)) {
      query.set(table, String(after));
    }
    const response = await this.client.send(address, {
      method: 'GET',
      path: `${PEER_TABLES_PATH}?${query.toString()}`,
      timeoutMs: LOAD_TIMEOUT_MS,
    });
    if (response.isErr()) return err(response.error);
    const {status, body} = response.value;
    if (status === OTHER_DEPLOYMENT_STATUS) return err(OTHER_DEPLOYMENT);
    const parsed = PEER_TABLES_ANSWER_SCHEMA.safeParse(body);
    if (!parsed.success) {
      return err(`the response with status ${status} is malformed`);
    }
    if (parsed.data.deployment !== deployment) return err(OTHER_DEPLOYMENT);
    return ok(parsed.data);
  }

  close(): void {
    this.client.close();
  }
}
