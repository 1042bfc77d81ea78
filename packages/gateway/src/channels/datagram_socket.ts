/** Ports for datagrams, and their implementation on UDP sockets. */
import {createSocket, type Socket} from 'node:dgram';
import {splitPlace} from '@irisdock/kernel';

/** Receives and sends datagrams. */
export interface DatagramPort {
  /** Binds to `ip:port`, port 0 for any free port; gives the bound address. */
  start(address: string): Promise<string>;
  /** Sends a datagram, without any guarantee that it arrives. */
  send(bytes: Uint8Array, address: string): void;
  close(): void;
}

/** Handles a datagram; the sender's address is given as `ip:port`. */
export type DatagramHandler = (bytes: Uint8Array, sender: string) => void;

/** Creates a port that passes its datagrams to `handle`. */
export type DatagramPortFactory = (handle: DatagramHandler) => DatagramPort;

/** A datagram port on a UDP socket. */
export class DatagramSocket implements DatagramPort {
  private readonly socket: Socket = createSocket('udp4');
  private isClosed = false;

  constructor(private readonly handle: DatagramHandler) {
    this.socket.on('message', (bytes, {address, port}) => {
      this.handle(bytes, `${address}:${port}`);
    });
  }

  async start(address: string): Promise<string> {
    const {host, port} = splitPlace(address);
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(port, host, () => {
        this.socket.removeListener('error', reject);
        // A failure to send is treated as a lost datagram.
        this.socket.on('error', () => undefined);
        resolve();
      });
    });
    return `${host}:${this.socket.address().port}`;
  }

  send(bytes: Uint8Array, address: string): void {
    // Requests that end after the close still report it; Node would throw.
    if (this.isClosed) return;
    const {host, port} = splitPlace(address);
    this.socket.send(bytes, port, host, () => undefined);
  }

  close(): void {
    this.isClosed = true;
    this.socket.close();
  }
}
