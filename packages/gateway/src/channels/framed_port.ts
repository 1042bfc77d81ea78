/**
 * A port for the datagrams of one deployment: adds the frame to what is sent,
 * and drops datagrams of other deployments. Drops are counted and logged at a
 * limited rate, as a host of another deployment may keep sending.
 */
import type {Clock, Logger} from '@irisdock/kernel';
import {PeerFrame, type DropReason} from '../model/peer_frame.js';
import type {DatagramPort, DatagramPortFactory} from './datagram_socket.js';

/** The minimum time between two log lines about drops, in ms. */
const MIN_LOG_INTERVAL_MS = 30_000;

/** Dependencies of the port. */
export interface FramedPortParts {
  readonly deployment: string;
  readonly openDatagrams: DatagramPortFactory;
  /** Counts a datagram that was dropped. */
  readonly recordDrop: (reason: DropReason) => void;
  readonly clock: Clock;
  readonly log: Logger;
}

/** A datagram port that adds and checks frames. */
export class FramedPort implements DatagramPort {
  private readonly frame: PeerFrame;
  private readonly port: DatagramPort;
  private dropped = 0;
  private loggedAt = -Infinity;

  /** @param handle Handles the payload of each datagram of the deployment. */
  constructor(
    private readonly parts: FramedPortParts,
    private readonly handle: (payload: Uint8Array) => void,
  ) {
    this.frame = new PeerFrame(parts.deployment);
    this.port = parts.openDatagrams((bytes, sender) => {
      this.accept(bytes, sender);
    });
  }

  async start(address: string): Promise<string> {
    return this.port.start(address);
  }

  send(payload: Uint8Array, address: string): void {
    this.port.send(this.frame.encode(payload), address);
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
    if (now - this.loggedAt < MIN_LOG_INTERVAL_MS) return;
    this.loggedAt = now;
    const {dropped} = this;
    log.writeWarning('Dropped datagrams from outside the deployment.', {
      reason,
      sender,
      dropped,
    });
  }
}
