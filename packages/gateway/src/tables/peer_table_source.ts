/** Asks other hosts for their copies of the tables (`peer_tables.ts`). */
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
const OTHER_DEPLOYMENT = 'it belongs to another deployment';

/** What is asked for. */
export interface PeerTablesRequest {
  /** Changes of tables after these revisions; -1 for a whole table. */
  readonly after: Partial<TableRevisions>;
  /** Whether the hosts that it knows are wanted too. */
  readonly withHosts: boolean;
}

/** Where other hosts' copies come from. */
export interface PeerTableSource {
  /** Asks the host at an address (`ip:port`); an error says why it gave none. */
  load(
    address: string,
    question: PeerTablesRequest,
  ): Promise<Result<PeerTables, string>>;
  close(): void;
}

/** Asks over HTTP. */
export class HttpPeerTableSource implements PeerTableSource {
  private readonly caller = new JsonClient();

  /** @param deployment The tag of the deployment (`PeerFrame`). */
  constructor(private readonly deployment: string) {}

  async load(
    address: string,
    question: PeerTablesRequest,
  ): Promise<Result<PeerTables, string>> {
    const {deployment} = this;
    const query = new URLSearchParams({deployment});
    if (question.withHosts) query.set('hosts', 'all');
    for (const [table, after] of Object.entries(question.after)) {
      query.set(table, String(after));
    }
    const answer = await this.caller.send(address, {
      method: 'GET',
      path: `${PEER_TABLES_PATH}?${query.toString()}`,
      timeoutMs: LOAD_TIMEOUT_MS,
    });
    if (answer.isErr()) return err(answer.error);
    const {status, body} = answer.value;
    if (status === OTHER_DEPLOYMENT_STATUS) return err(OTHER_DEPLOYMENT);
    const parsed = PEER_TABLES_ANSWER_SCHEMA.safeParse(body);
    if (!parsed.success) {
      return err(`its answer of status ${status} cannot be read`);
    }
    if (parsed.data.deployment !== deployment) return err(OTHER_DEPLOYMENT);
    return ok(parsed.data);
  }

  close(): void {
    this.caller.close();
  }
}
