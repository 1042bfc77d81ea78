/** Assembles the daemon from its services and runs them in the kernel. */
import {
  createSeed,
  Kernel,
  LOG_LEVELS,
  RoarrLogger,
  SeededRandom,
  SystemClock,
  type AnyServiceDefinition,
  type Logger,
  type SettingsGroup,
  type SettingsValues,
} from '@irisdock/kernel';
import {collectDefaultMetrics, Registry} from 'prom-client';
import * as z from 'zod';
import {ADMISSION_SERVICE} from './services/admission.js';
import {ARCHIVE_SERVICE} from './services/archive.js';
import {CALLERS_SERVICE} from './services/callers.js';
import {CONFIGURATION_SERVICE} from './services/configuration.js';
import {READER_SERVICE} from './services/configuration_reader.js';
import {WRITER_SERVICE} from './services/configuration_writer.js';
import {ENDPOINTS_SERVICE} from './services/endpoint_directory.js';
import {HOST_SERVICE} from './services/host.js';
import {HOST_LIST_SERVICE} from './services/host_list.js';
import {LISTENERS, LISTENERS_SERVICE} from './services/listeners.js';
import {MEMBERSHIP_SERVICE} from './services/membership.js';
import {OPERATORS_SERVICE} from './services/operators.js';
import {ORDERS_SERVICE} from './services/orders.js';
import {OWNERSHIP_SERVICE} from './services/ownership.js';
import {PEER_LINKS_SERVICE} from './services/peer_links.js';
import {PLAIN_CALLS_SERVICE} from './services/plain_calls.js';
import {PLATFORM_SERVICE} from './services/platform.js';
import {STREAMS_SERVICE} from './services/streams.js';

/** All services of the daemon. */
export const SERVICES: readonly AnyServiceDefinition[] = [
  LISTENERS_SERVICE,
  HOST_SERVICE,
  PLATFORM_SERVICE,
  CONFIGURATION_SERVICE,
  MEMBERSHIP_SERVICE,
  READER_SERVICE,
  WRITER_SERVICE,
  PEER_LINKS_SERVICE,
  HOST_LIST_SERVICE,
  ENDPOINTS_SERVICE,
  ADMISSION_SERVICE,
  OWNERSHIP_SERVICE,
  STREAMS_SERVICE,
  PLAIN_CALLS_SERVICE,
  ORDERS_SERVICE,
  ARCHIVE_SERVICE,
  CALLERS_SERVICE,
  OPERATORS_SERVICE,
];

/** The log settings of the process. */
export const LOG_SETTINGS = z.object({
  level: z
    .enum(LOG_LEVELS)
    .default('info')
    .meta({
      unit: LOG_LEVELS.join('|'),
      description: 'Minimum level of the log lines that are written.',
    }),
});

/** All settings of the daemon, grouped by service. */
export const SETTINGS_GROUPS: readonly SettingsGroup[] = [
  ...SERVICES.filter((s) => Object.keys(s.settings.shape).length > 0).map(
    (service) => ({name: service.key.name, schema: service.settings}),
  ),
  {name: 'log', schema: LOG_SETTINGS},
];

const LOOP_SAMPLE_INTERVAL_MS = 500;

/** The daemon: its services, kernel and metrics. */
export class Daemon {
  readonly metrics = new Registry();
  private readonly kernel: Kernel;

  constructor(readonly log: Logger) {
    collectDefaultMetrics({
      register: this.metrics,
      prefix: 'irisdock_process_',
      // The default of 10 ms wakes an idle process 100 times per second.
      eventLoopMonitoringPrecision: LOOP_SAMPLE_INTERVAL_MS,
    });
    this.kernel = new Kernel(SERVICES, {
      clock: new SystemClock(),
      random: new SeededRandom(createSeed()),
      log,
      metrics: this.metrics,
    });
  }

  /** Starts all services; resolves to the advertised addresses. */
  async start(
    settings: SettingsValues,
  ): Promise<{caller: string; operator: string; peer: string}> {
    await this.kernel.start(settings);
    return this.kernel.find(LISTENERS).addresses;
  }

  /** Drains and stops all services. */
  async stop(): Promise<void> {
    await this.kernel.stop();
  }
}

/** Creates a daemon that logs at the configured level. */
export function createDaemon(settings: SettingsValues): Daemon {
  const {level} = LOG_SETTINGS.parse(settings.get('log') ?? {});
  return new Daemon(new RoarrLogger('daemon', level));
}
