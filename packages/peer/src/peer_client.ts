/** Calls another host's RPCs over one HTTP/2 connection. */
import {createClient, type Client} from '@connectrpc/connect';
import {
  createConnectTransport,
  Http2SessionManager,
} from '@connectrpc/connect-node';
import {getErrorText, type KnownError} from '@irisdock/kernel';
import type {MemberNote} from '@irisdock/decisions';
import {err, ok, type Result} from 'neverthrow';
import {decodeNews, decodeNotes, encodeNote} from './codec.js';
import {PEER_ERRORS} from './errors.js';
import {PeerService} from './gen/peer_pb.js';
import type {ConfigurationPart, PeerNews} from './peer_news.js';

const CALL_MS = 1500;

/** One other host. */
export class PeerClient {
  private readonly sessions: Http2SessionManager;
  private readonly client: Client<typeof PeerService>;

  constructor(readonly address: string) {
    const baseUrl = `http://${address}`;
    this.sessions = new Http2SessionManager(baseUrl);
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager: this.sessions,
    });
    this.client = createClient(PeerService, transport);
  }

  /** Gives the host's news until the signal is aborted; throws at its loss. */
  async *watch(own: MemberNote, signal: AbortSignal): AsyncGenerator<PeerNews> {
    const request = {note: encodeNote(own)};
    for await (const message of this.client.watch(request, {signal})) {
      yield decodeNews(message);
    }
  }

  /** Tells notes; gives what the host knows better. */
  async sendNotes(
    notes: readonly MemberNote[],
  ): Promise<Result<readonly MemberNote[], KnownError>> {
    try {
      const request = {members: notes.map(encodeNote)};
      const answer = await this.client.tell(request, {timeoutMs: CALL_MS});
      return ok(decodeNotes(answer.members));
    } catch (thrown) {
      return err(this.createError(thrown));
    }
  }

  /** Gets the host's configuration after a revision. */
  async getConfiguration(
    afterRevision: number,
  ): Promise<Result<ConfigurationPart, KnownError>> {
    try {
      const request = {afterRevision: BigInt(afterRevision)};
      const options = {timeoutMs: CALL_MS};
      const answer = await this.client.getConfiguration(request, options);
      const {changes, snapshot} = answer;
      return ok({revision: Number(answer.revision), changes, snapshot});
    } catch (thrown) {
      return err(this.createError(thrown));
    }
  }

  /** Closes the connection. */
  close(): void {
    this.sessions.abort();
  }

  private createError(thrown: unknown): KnownError {
    const detail = getErrorText(thrown);
    return PEER_ERRORS.create('peer_failed', {address: this.address, detail});
  }
}
