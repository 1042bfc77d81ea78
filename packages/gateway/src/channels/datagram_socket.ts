/** A UDP socket at one place. */
import {createSocket, type Socket} from 'node:dgram';
import {splitPlace} from '@irisdock/kernel';

/** Takes and sends datagrams. */
export interface DatagramPort {
  /** Takes the place, as `ip:port`; port 0 takes a free one. */
  start(place: string): Promise<string>;
  /** Sends a datagram; whether it arrives is not known. */
  send(bytes: Uint8Array, place: string): void;
  close(): void;
}

/** Takes a datagram and its sender's address, as `ip:port`. */
export type DatagramHandler = (bytes: Uint8Array, sender: string) => void;

/** Opens a port whose datagrams go to `handle`. */
export type DatagramPortFactory = (handle: DatagramHandler) => DatagramPort;

/** A UDP socket as a port for datagrams. */
export class DatagramSocket implements DatagramPort {
  private readonly socket: Socket = createSocket('udp4');

  constructor(private readonly handle: DatagramHandler) {
    this.socket.on('message', (bytes, {address, port}) => {
      this.handle(bytes, `${address}:${port}`);
    });
  }

  async start(place: string): Promise<string> {
    const {host, port} = splitPlace(place);
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(port, host, () => {
        this.socket.removeListener('error', reject);
        // A datagram that could not be sent is like one that was lost.
        this.socket.on('error', () => undefined);
        resolve();
      });
    });
    return `${host}:${this.socket.address().port}`;
  }

  send(bytes: Uint8Array, place: string): void {
    const {host, port} = splitPlace(place);
    this.socket.send(bytes, port, host, () => undefined);
  }

  close(): void {
    this.socket.close();
  }
}
