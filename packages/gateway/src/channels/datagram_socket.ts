/** A UDP socket at one place. */
import {createSocket, type Socket} from 'node:dgram';

/** Takes and sends datagrams. */
export class DatagramSocket {
  private readonly socket: Socket = createSocket('udp4');

  constructor(private readonly handle: (bytes: Buffer) => void) {
    this.socket.on('message', (bytes) => {
      this.handle(bytes);
    });
  }

  /** Takes the place, as `ip:port`; port 0 takes a free one. */
  async start(place: string): Promise<string> {
    const {ip, port} = parsePlace(place);
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(port, ip, () => {
        this.socket.removeListener('error', reject);
        // A datagram that could not be sent is like one that was lost.
        this.socket.on('error', () => undefined);
        resolve();
      });
    });
    return `${ip}:${this.socket.address().port}`;
  }

  /** Sends a datagram; whether it arrives is not known. */
  send(bytes: Buffer, place: string): void {
    const {ip, port} = parsePlace(place);
    this.socket.send(bytes, port, ip, () => undefined);
  }

  close(): void {
    this.socket.close();
  }
}

function parsePlace(place: string): {ip: string; port: number} {
  const colon = place.lastIndexOf(':');
  return {ip: place.slice(0, colon), port: Number(place.slice(colon + 1))};
}
