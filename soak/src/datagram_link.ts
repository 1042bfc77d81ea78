/** A link for datagrams to one host, which can drop what some hosts send. */
import {createSocket, type Socket} from 'node:dgram';

/** The link. */
export class DatagramLink {
  /** Ports of senders whose datagrams are dropped. */
  readonly droppedPorts = new Set<number>();
  /** Whether all datagrams are dropped. */
  dropsAll = false;
  private readonly socket: Socket = createSocket('udp4');

  /** @param targetPort The port of the host on loopback. */
  constructor(targetPort: number) {
    this.socket.on('message', (bytes, sender) => {
      if (this.dropsAll || this.droppedPorts.has(sender.port)) return;
      this.socket.send(bytes, targetPort, '127.0.0.1', () => undefined);
    });
    this.socket.on('error', () => undefined);
  }

  /** Starts; gives the address of the near end. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.socket.bind(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${this.socket.address().port}`;
  }

  stop(): void {
    this.socket.close();
  }
}
