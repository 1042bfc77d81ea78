/** Answers the RPCs of other hosts over HTTP/2. */
import {
  createServer,
  type Http2Server,
  type ServerHttp2Session,
} from 'node:http2';
import type {AddressInfo} from 'node:net';
import {Code, ConnectError} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {splitPlace} from '@irisdock/kernel';
import {decodeNote, decodeNotes, encodeNews, encodeNote} from './codec.js';
import {PeerService, type PeerMessage} from './gen/peer_pb.js';
import type {PeerHandler} from './peer_news.js';

/**
 * The longest message that another host may send, in bytes: the notes of some
 * thousand hosts.
 */
const MAX_MESSAGE_BYTES = 1_048_576;

/** An RPC server; refuses all calls until it has a handler. */
export class PeerServer {
  private readonly server: Http2Server;
  private readonly sessions = new Set<ServerHttp2Session>();
  private readonly closing = new AbortController();
  private handler: PeerHandler | undefined;

  constructor(private readonly listen: string) {
    const adapter = connectNodeAdapter({
      readMaxBytes: MAX_MESSAGE_BYTES,
      routes: (router) => {
        router.service(PeerService, {
          watch: (request, context) =>
            this.watch(decodeNote(request.note ?? NO_NOTE), context.signal),
          tell: (request) => {
            const notes = decodeNotes(request.members);
            const known = this.getHandler().applyTold(notes);
            return {members: known.map(encodeNote)};
          },
          getConfiguration: (request) => {
            const after = Number(request.afterRevision);
            const part = this.getHandler().getConfiguration(after);
            const {changes, snapshot} = part;
            const revision = BigInt(part.revision);
            return {revision, changes: [...changes], snapshot};
          },
        });
      },
    });
    this.server = createServer(adapter);
    this.server.on('session', (session) => {
      this.sessions.add(session);
      session.on('error', () => undefined);
      session.on('close', () => this.sessions.delete(session));
    });
  }

  /** Sets what answers the calls. */
  setHandler(handler: PeerHandler): void {
    this.handler = handler;
  }

  /** Starts to listen; gives the place that was taken. */
  async start(): Promise<string> {
    const {host, port} = splitPlace(this.listen);
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    const {address, port: taken, family} = this.server.address() as AddressInfo;
    return family === 'IPv6' ? `[${address}]:${taken}` : `${address}:${taken}`;
  }

  /** Ends all calls and connections. */
  async stop(): Promise<void> {
    this.closing.abort();
    await new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
      for (const session of this.sessions) session.destroy();
    });
  }

  private async *watch(
    note: ReturnType<typeof decodeNote>,
    signal: AbortSignal,
  ): AsyncGenerator<PeerMessage> {
    if (note === undefined) {
      throw new ConnectError('Give your own note.', Code.InvalidArgument);
    }
    const both = AbortSignal.any([signal, this.closing.signal]);
    for await (const news of this.getHandler().watch(note, both)) {
      yield encodeNews(news);
    }
  }

  private getHandler(): PeerHandler {
    if (this.handler !== undefined) return this.handler;
    throw new ConnectError('This host is starting.', Code.Unavailable);
  }
}

const NO_NOTE = encodeNote({
  hostId: '',
  incarnation: '',
  sequence: 0,
  state: 'live',
  callerAddress: '',
  peerAddress: '',
  failureDomain: '',
  revision: 0,
});
