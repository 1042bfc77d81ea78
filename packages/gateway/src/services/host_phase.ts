/**
 * The service `phase`: where this host is in its life. It is ready once it
 * knows a configuration, and leaving from the moment it is told to stop.
 */
import {createService, createServiceKey, type Clock} from '@irisdock/kernel';
import * as z from 'zod';
import {GATEWAY_CONFIGURATION} from './configuration.js';
import type {PeerState} from './host_tracker.js';
import {PEERS} from './peers.js';

/** Ages of the configuration from which it may be old, in ms. */
const MAY_BE_BEHIND_MS = 4500;

/** Where this host is in its life. */
export class HostPhase {
  private leavingSince: number | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly isConfigured: () => boolean,
    private readonly getConfigurationAgeMs: (now: number) => number,
    /** How long a planned stop may take in all, in ms. */
    readonly graceMs: number,
  ) {}

  get state(): PeerState {
    if (this.leavingSince !== undefined) return 'leaving';
    return this.isConfigured() ? 'ready' : 'starting';
  }

  get isLeaving(): boolean {
    return this.leavingSince !== undefined;
  }

  /** How long ago the host was told to stop, in ms; 0 before. */
  get leavingMs(): number {
    if (this.leavingSince === undefined) return 0;
    return this.clock.getNow() - this.leavingSince;
  }

  /** Whether a stream that begins now would be cut by the end of the stop. */
  get isTooLateForStreams(): boolean {
    return this.leavingMs > this.graceMs * LAST_STREAM_PART;
  }

  get mayBeBehind(): boolean {
    return this.getConfigurationAgeMs(this.clock.getNow()) > MAY_BE_BEHIND_MS;
  }

  /** Takes it that the host was told to stop. */
  startLeaving(): void {
    this.leavingSince ??= this.clock.getNow();
  }
}

/** The part of a planned stop in which streams are still begun. */
const LAST_STREAM_PART = 0.3;

/** The key of the service. */
export const HOST_PHASE = createServiceKey<HostPhase>('phase');

const MILLI = 1000;

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
  needs: [GATEWAY_CONFIGURATION, PEERS],
  create(context, settings) {
    const configuration = context.find(GATEWAY_CONFIGURATION);
    const {standing} = context.find(PEERS);
    const api = new HostPhase(
      context.clock,
      () => configuration.isLoaded,
      (now) => standing.getConfigurationAgeMs(now),
      settings.graceSeconds * MILLI,
    );
    return {api};
  },
});
