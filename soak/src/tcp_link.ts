/**
 * A link that the soak can harm: connections to it are passed on to a target.
 * Each direction can be held back, and all connections can be reset.
 */
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {isRefused} from '@irisdock/kernel';
import {DelayQueue} from './delay_queue.js';

type HeldDirection = 'holdsBackward' | 'holdsForward';

/** What is wrong with a link; nothing on a sound one. */
export interface LinkHarm {
  /** Bytes towards the target are held back. */
  readonly holdsForward?: boolean;
  /** Bytes from the target are held back. */
  readonly holdsBackward?: boolean;
  /** Each piece of data comes so much later, in ms. */
  readonly delayMs?: number;
}

/** One connection through the link. */
class LinkedPair {
  /** Ends that were held back, to be passed on when the harm is over. */
  private heldEnds: Socket[] = [];

  constructor(
    private readonly near: Socket,
    private readonly far: Socket,
    private readonly link: TcpLink,
  ) {
    this.passOn(near, far, 'holdsForward');
    this.passOn(far, near, 'holdsBackward');
  }

  /** Resets both sides. */
  close(): void {
    this.link.drop(this);
    for (const socket of [this.near, this.far]) {
      closeSocket(socket);
    }
  }

  /** Lets what was held back go on when the harm is over. */
  resume(): void {
    this.near.resume();
    this.far.resume();
    for (const socket of this.heldEnds) socket.end();
    this.heldEnds = [];
  }

  private passOn(from: Socket, to: Socket, held: HeldDirection): void {
    const queue = new DelayQueue();
    from.setNoDelay(true);
    from.on('error', () => undefined);
    from.once('close', (hadError) => {
      if (hadError) this.close();
      else to.end();
      if (to.destroyed) this.link.drop(this);
    });
    from.on('data', (bytes) => {
      if (this.link.harm[held] === true) {
        from.pause();
        from.unshift(bytes);
        return;
      }
      queue.add(this.link.harm.delayMs ?? 0, () => to.write(bytes));
    });
    from.on('end', () => {
      if (this.link.harm[held] === true) this.heldEnds.push(to);
      else queue.add(this.link.harm.delayMs ?? 0, () => to.end());
    });
  }
}

/** The link. */
export class TcpLink {
  harm: LinkHarm = {};
  /**
   * Ports of connections that the link took though nobody listens at the target:
   * without the link they would have been refused.
   */
  readonly refusedPorts = new Set<number>();
  private readonly pairs = new Set<LinkedPair>();
  private readonly server = createServer({allowHalfOpen: true}, (near) => {
    const {host, port} = this.getTarget();
    const far = connect({host, port, allowHalfOpen: true});
    far.once('error', (error) => {
      const nearPort = near.remotePort ?? 0;
      if (isRefused(error)) this.refusedPorts.add(nearPort);
    });
    this.pairs.add(new LinkedPair(near, far, this));
  });

  /** @param getTarget Gives where the link leads at present. */
  constructor(private readonly getTarget: () => {host: string; port: number}) {}

  /** Starts; gives the address of the near end. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Sets what is wrong; what a harm held back goes on when it is over. */
  setHarm(harm: LinkHarm): void {
    this.harm = harm;
    for (const pair of this.pairs) pair.resume();
  }

  /** Resets all connections. */
  closeAll(): void {
    for (const pair of [...this.pairs]) pair.close();
  }

  /** Takes it that a connection has ended. */
  drop(pair: LinkedPair): void {
    this.pairs.delete(pair);
  }

  stop(): void {
    this.server.close();
    this.closeAll();
  }
}

/** Resets a connection; one that was ended here can only be closed. */
function closeSocket(socket: Socket): void {
  if (socket.destroyed) return;
  // After an end, libuv refuses a reset and would leave the handle open.
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
