/**
 * The drain of the server for callers: it serves on while callers may still
 * use its address, then closes idle connections and waits for the others.
 */
import type {Clock, Logger} from '@irisdock/kernel';
import type {CallerConnections} from '../channels/caller_connections.js';
import type {HostPhase} from './host_phase.js';

/** How long callers may still use this host's address during a stop, in ms. */
const ADDRESS_LINGER_MS = 3500;
/** How long before the process is killed the drain ends, in ms. */
const KILL_MARGIN_MS = 600;
/** The interval between checks for requests in flight during a drain, in ms. */
const DRAIN_CHECK_MS = 50;

/** What is drained. */
export interface FrontDrainParts {
  readonly connections: CallerConnections;
  readonly phase: HostPhase;
  readonly clock: Clock;
  readonly log: Logger;
  /** Counts the requests in flight, those of other hosts included. */
  readonly countInFlight: () => number;
}

/**
 * Waits while callers may still use the address, then until the last response
 * has been flushed or the grace period is over.
 */
export async function waitDrained(parts: FrontDrainParts): Promise<void> {
  const {connections, phase, clock, log, countInFlight} = parts;
  const maxMs = phase.graceMs - KILL_MARGIN_MS;
  while (phase.leavingMs < maxMs) {
    if (phase.leavingMs >= ADDRESS_LINGER_MS) {
      await connections.closeIdle();
      if (countInFlight() + connections.countBusy() === 0) return;
    }
    await clock.wait(DRAIN_CHECK_MS);
  }
  const requests = countInFlight();
  const busyConnections = connections.countBusy();
  if (requests + busyConnections === 0) return;
  log.writeWarning('The grace period ended before all requests did.', {
    requests,
    connections: busyConnections,
  });
}
