/**
 * A port for the datagrams of one deployment: frames what is sent, and drops
 * what another deployment sent. Drops are counted, and logged now and then, as
 * a foreign host may send for as long as it runs.
 */
import type {Clock, Logger} from '@irisdock/kernel';
import {PeerFrame, type DropReason} from '../model/peer_frame.js';
import type {DatagramPort, DatagramPortFactory} from './datagram_socket.js';

/** The least time between two log lines of drops, in ms. */
const LOG_EVERY_MS = 30_000;

/** What the port works with. */
export interface FramedPortParts {
  readonly deployment: string;
  readonly openDatagrams: DatagramPortFactory;
  /** Counts a datagram that was dropped. */
  readonly recordDrop: (reason: DropReason) => void;
  readonly clock: Clock;
  readonly log: Logger;
}

/** The port. */
export class FramedPort implements DatagramPort {
  private readonly frame: PeerFrame;
  private readonly port: DatagramPort;
  private dropped = 0;
  private loggedAt = -Infinity;

  /** @param handle Takes the payload of each datagram of the deployment. */
  constructor(
    private readonly parts: FramedPortParts,
    private readonly handle: (payload: Uint8Array) => void,
  ) {
    this.frame = new PeerFrame(parts.deployment);
    this.port = parts.openDatagrams((bytes, sender) => {
      this.accept(bytes, sender);
    });
  }

  async start(place: string): Promise<string> {
    return this.port.start(place);
  }

  send(payload: Uint8Array, place: string): void {
    this.port.send(this.frame.encode(payload), place);
  }

  close(): void {
    this.port.close();
  }

  private accept(bytes: Uint8Array, sender: string): void {
    const payload = this.frame.decode(bytes);
    if (payload.isOk()) this.handle(payload.value);
    else this.drop(payload.error, sender);
  }

  private drop(reason: DropReason, sender: string): void {
    const {recordDrop, clock, log} = this.parts;
    recordDrop(reason);
    this.dropped++;
    const now = clock.getNow();
    if (now - this.loggedAt < LOG_EVERY_MS) return;
    this.loggedAt = now;
    const {dropped} = this;
    log.writeWarning('Dropped datagrams that are not of this deployment.', {
      reason,
      sender,
      dropped,
    });
  }
}
