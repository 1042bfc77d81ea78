/**
 * The drain of the server for callers: it serves on while callers may still
 * use its address, then closes idle connections and waits for the others. What
 * still runs when the host must stop is answered with an error.
 */
import type {Clock, Logger} from '@irisdock/kernel';
import type {CallerConnections} from '../channels/caller_connections.js';
import type {ExchangesInFlight} from '../serving/exchanges_in_flight.js';
import {FLUSH_MS, type HostPhase} from './host_phase.js';

/** How long callers may still use this host's address during a stop, in ms. */
const ADDRESS_LINGER_MS = 3500;
/**
 * How long before the end of the drain the host stops listening, as a part of
 * the grace period. A caller whose connection is refused can use another host;
 * one whose connection is reset can't know whether its request was read.
 */
const LAST_ACCEPT_FRACTION = 1 / 40;
/** The interval between checks for requests in flight during a drain, in ms. */
const DRAIN_CHECK_MS = 50;

/** What is drained. */
export interface FrontDrainParts {
  readonly connections: CallerConnections;
  readonly phase: HostPhase;
  readonly clock: Clock;
  readonly log: Logger;
  /** The requests in flight, those of other hosts included. */
  readonly inFlight: ExchangesInFlight;
}

/**
 * Waits while callers may still use the address, then until the last response
 * has been flushed or the grace period is over.
 */
export async function waitDrained(parts: FrontDrainParts): Promise<void> {
  const {connections, phase, clock} = parts;
  const lastAcceptMs = phase.graceMs * LAST_ACCEPT_FRACTION;
  while (phase.workLeftMs > 0) {
    const mayClose = phase.leavingMs >= ADDRESS_LINGER_MS;
    if (mayClose && (await isDrained(parts))) return;
    if (phase.workLeftMs <= lastAcceptMs) await connections.stopListening();
    await clock.wait(DRAIN_CHECK_MS);
  }
  await endRequests(parts);
}

async function isDrained({
  connections,
  inFlight,
}: FrontDrainParts): Promise<boolean> {
  await connections.closeIdle();
  return inFlight.size + connections.countBusy() === 0;
}

/**
 * Answers requests whose answer has not begun with an error, and waits until
 * callers have it.
 */
async function endRequests(parts: FrontDrainParts): Promise<void> {
  const {connections, phase, clock, log, inFlight} = parts;
  const stopped = inFlight.stopAll();
  if (stopped > 0) {
    const sentence = 'Answered requests with an error as the host stops.';
    log.writeWarning(sentence, {requests: stopped});
  }
  while (phase.workLeftMs > -FLUSH_MS) {
    if (await isDrained(parts)) return;
    await clock.wait(DRAIN_CHECK_MS);
  }
  const requests = inFlight.size;
  const busyConnections = connections.countBusy();
  if (requests + busyConnections === 0) return;
  log.writeWarning('The grace period ended before all requests did.', {
    requests,
    connections: busyConnections,
  });
}
