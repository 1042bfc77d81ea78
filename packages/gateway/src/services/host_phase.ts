/**
 * The service `phase`: the life-cycle state of this host. It is ready once it
 * has a configuration and the other tables, and leaving from the moment it is
 * told to stop. A host without the endpoints would refuse each request.
 */
import {createService, createServiceKey, type Clock} from '@irisdock/kernel';
import * as z from 'zod';
import {GATEWAY_CONFIGURATION} from './configuration.js';
import type {PeerState} from './host_tracker.js';
import {PEERS} from './peers.js';
import {TABLES_KEY, type Tables} from '../tables/tables.js';

/** The age from which the configuration may be outdated, in ms. */
const MAY_BE_STALE_MS = 4500;

/**
 * How long a host that has all other tables waits for that of the crashes, in
 * ms, from its start. Without it the host may run contents that the others
 * refuse; but where all hosts start at once and the store is slow, callers are
 * refused everywhere meanwhile.
 */
const MAX_CRASHES_WAIT_MS = 500;

/** How long before the process is killed its drain ends, in ms. */
const KILL_MARGIN_MS = 600;
/** The end of the drain, in which only final answers are flushed, in ms. */
export const FLUSH_MS = 200;

/** Dependencies of the life-cycle state. */
export interface HostPhaseParts {
  readonly clock: Clock;
  /** Whether any configuration is in force. */
  readonly hasConfiguration: () => boolean;
  readonly tables: Pick<Tables, 'crashes' | 'endpoints'>;
  readonly getConfigurationAgeMs: (now: number) => number;
  /** How long a planned stop may take in total, in ms. */
  readonly graceMs: number;
}

/** Tracks the life-cycle state of this host. */
export class HostPhase {
  private readonly startedAt: number;
  private leavingSince: number | undefined;

  constructor(private readonly parts: HostPhaseParts) {
    this.startedAt = parts.clock.getNow();
  }

  get state(): PeerState {
    if (this.leavingSince !== undefined) return 'leaving';
    return this.canServe ? 'ready' : 'starting';
  }

  /** How long a planned stop may take in total, in ms. */
  get graceMs(): number {
    return this.parts.graceMs;
  }

  get isLeaving(): boolean {
    return this.leavingSince !== undefined;
  }

  /** How long ago the host was told to stop, in ms; 0 if it was not. */
  get leavingMs(): number {
    if (this.leavingSince === undefined) return 0;
    return this.parts.clock.getNow() - this.leavingSince;
  }

  /**
   * How much longer requests may run, in ms; Infinity if the host was not told
   * to stop.
   */
  get workLeftMs(): number {
    if (this.leavingSince === undefined) return Infinity;
    return this.graceMs - KILL_MARGIN_MS - FLUSH_MS - this.leavingMs;
  }

  /** Whether the planned stop would likely cut a stream that starts now. */
  get isTooLateForStreams(): boolean {
    return this.leavingMs > this.graceMs * STREAM_ACCEPT_FRACTION;
  }

  /** Whether the configuration may be outdated. */
  get mayBeBehind(): boolean {
    const {clock, getConfigurationAgeMs} = this.parts;
    return getConfigurationAgeMs(clock.getNow()) > MAY_BE_STALE_MS;
  }

  /** Records that the host was told to stop. */
  startLeaving(): void {
    this.leavingSince ??= this.parts.clock.getNow();
  }

  /** Whether this host has what it needs to serve, even if that is empty. */
  get canServe(): boolean {
    const {clock, hasConfiguration, tables} = this.parts;
    if (!hasConfiguration() || !tables.endpoints.replica.isLoaded) return false;
    if (tables.crashes.replica.isLoaded) return true;
    return clock.getNow() - this.startedAt >= MAX_CRASHES_WAIT_MS;
  }
}

/** The fraction of a planned stop in which new streams are still accepted. */
const STREAM_ACCEPT_FRACTION = 0.3;

/** The key of the service. */
export const HOST_PHASE = createServiceKey<HostPhase>('phase');

const MS_PER_SECOND = 1000;

/** Declares the service. */
export const HOST_PHASE_SERVICE = createService({
  key: HOST_PHASE,
  settings: z.object({
    graceSeconds: z.coerce.number().min(1).default(8).meta({
      unit: 's',
      description:
        'How long a planned stop may take before the process is killed.',
    }),
  }),
  needs: [GATEWAY_CONFIGURATION, PEERS, TABLES_KEY],
  create(context, settings) {
    const configuration = context.find(GATEWAY_CONFIGURATION);
    const {standing} = context.find(PEERS);
    const api = new HostPhase({
      clock: context.clock,
      hasConfiguration: () => configuration.isLoaded,
      tables: context.find(TABLES_KEY),
      getConfigurationAgeMs: (now) => standing.getConfigurationAgeMs(now),
      graceMs: settings.graceSeconds * MS_PER_SECOND,
    });
    return {api};
  },
});
