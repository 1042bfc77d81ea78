/**
 * The program of an entry host that serves declared routes: lists its services,
 * reads its settings, and starts and stops it. An adapter adds the services
 * `store` and `codecs` and runs the program.
 */
import {
  createSeed,
  formatSettingsHelp,
  getErrorText,
  Kernel,
  LineWriter,
  LOG_LEVELS,
  parseSettings,
  readSettingsFile,
  RoarrLogger,
  SeededRandom,
  startLogsTo,
  SystemClock,
  type AnyServiceDefinition,
  type Logger,
  type SettingsGroup,
  type SettingsValues,
} from '@irisdock/kernel';
import {err, type Result} from 'neverthrow';
import {Registry} from 'prom-client';
import * as z from 'zod';
import {BEGUN_REQUESTS_SERVICE} from './services/begun_requests.js';
import {GATEWAY_CONFIGURATION_SERVICE} from './services/configuration.js';
import {CRASHES_SERVICE} from './services/crashes.js';
import {DEMAND_SERVICE} from './services/demand.js';
import {DIRECTORY_SERVICE} from './services/directory.js';
import {ENDPOINT_NETWORK_SERVICE} from './services/endpoint_network.js';
import {GATEWAY_ENDPOINTS_SERVICE} from './services/endpoints.js';
import {FRONT_SERVICE} from './services/front.js';
import {HOST_PHASE_SERVICE} from './services/host_phase.js';
import {HOST_IDENTITY_SERVICE, HOST_SETTINGS} from './services/identity.js';
import {PEER_DISCOVERY_SERVICE} from './services/peer_discovery.js';
import {LIMITS_SERVICE} from './services/limits.js';
import {METRICS_PAGE_SERVICE} from './services/metrics_page.js';
import {PEER_TABLES_SERVICE} from './tables/peer_tables.js';
import {PEERS_SERVICE} from './services/peers.js';
import {REQUEST_MEMORY_SERVICE} from './services/request_memory.js';
import {ROLLOUTS_SERVICE} from './services/rollouts.js';
import {ORIGIN_STORE_SERVICE} from './services/origin_stores.js';
import {RUN_LEASES_SERVICE} from './services/run_leases.js';
import {SCALING_SERVICE} from './services/scaling.js';
import {STREAM_ORIGINS_SERVICE} from './services/stream_origins.js';
import {TASKS_SERVICE} from './services/tasks.js';
import {USAGE_REPORTS_SERVICE} from './services/usage_reports.js';
import {VERSION_HISTORY_SERVICE} from './services/version_histories.js';
import {TABLES_SERVICE} from './tables/tables.js';
import {SettingsFileWatcher} from './settings_file_watcher.js';

/** The services of the gateway except those that an adapter adds. */
export const GATEWAY_SERVICES: readonly AnyServiceDefinition[] = [
  HOST_IDENTITY_SERVICE,
  REQUEST_MEMORY_SERVICE,
  TABLES_SERVICE,
  GATEWAY_CONFIGURATION_SERVICE,
  GATEWAY_ENDPOINTS_SERVICE,
  HOST_PHASE_SERVICE,
  PEERS_SERVICE,
  PEER_TABLES_SERVICE,
  PEER_DISCOVERY_SERVICE,
  TASKS_SERVICE,
  METRICS_PAGE_SERVICE,
  ROLLOUTS_SERVICE,
  CRASHES_SERVICE,
  DEMAND_SERVICE,
  RUN_LEASES_SERVICE,
  ORIGIN_STORE_SERVICE,
  STREAM_ORIGINS_SERVICE,
  VERSION_HISTORY_SERVICE,
  LIMITS_SERVICE,
  ENDPOINT_NETWORK_SERVICE,
  BEGUN_REQUESTS_SERVICE,
  USAGE_REPORTS_SERVICE,
  SCALING_SERVICE,
  FRONT_SERVICE,
  DIRECTORY_SERVICE,
];

const LOG_SETTINGS = z.object({
  level: z
    .enum(LOG_LEVELS)
    .default('info')
    .meta({
      unit: LOG_LEVELS.join('|'),
      description: 'The lowest level of the log lines that are written.',
    }),
  maxLinesPerSecond: z.coerce.number().int().min(1).default(300).meta({
    unit: 'lines/s',
    description:
      'The maximum rate of log lines; lines beyond it are counted and dropped.',
  }),
});

const EXIT_START_FAILED = 1;
const EXIT_USAGE = 2;
/** The exit code when a second signal ends the planned stop. */
const EXIT_FORCED = 3;
/** The size of the buffer for log lines when their reader is slow. */
const MAX_WAITING_LOG_BYTES = 1_048_576;
/** The file descriptor of the standard output. */
const STDOUT = 1;

/** The arguments and the environment of the program. */
export interface ProgramInvocation {
  readonly args: readonly string[];
  readonly env: Readonly<Record<string, string | undefined>>;
  /** The environment variable with the path of the settings file. */
  readonly settingsFileVariable: string;
}

/** Runs the gateway until a signal stops it. */
export async function runGateway(
  call: ProgramInvocation,
  adapterServices: readonly AnyServiceDefinition[],
): Promise<void> {
  const services = [...adapterServices, ...GATEWAY_SERVICES];
  const groups = listGroups(services);
  if (call.args.includes('--help')) {
    process.stdout.write(`${formatSettingsHelp(groups)}\n`);
    return;
  }
  const read = readSettings(call, groups);
  if (read.isErr()) {
    for (const fault of read.error) process.stderr.write(`${fault}\n`);
    process.exitCode = EXIT_USAGE;
    return;
  }
  const settings = read.value;
  const clock = new SystemClock();
  const logSettings = LOG_SETTINGS.parse(settings.get('log'));
  const writer = new LineWriter(
    STDOUT,
    {
      maxLinesPerSecond: logSettings.maxLinesPerSecond,
      maxWaitingBytes: MAX_WAITING_LOG_BYTES,
    },
    () => clock.getNow(),
  );
  startLogsTo(writer);
  const {name: host} = HOST_SETTINGS.parse(settings.get('host'));
  const log = new RoarrLogger('gateway', logSettings.level, {host});
  const kernel = new Kernel(services, {
    clock,
    random: new SeededRandom(createSeed()),
    log,
    metrics: new Registry(),
  });
  handleStopSignals(kernel, log, writer);
  const watcher = new SettingsFileWatcher(
    call.env[call.settingsFileVariable],
    clock,
    log,
    () => readSettings(call, groups).map((next) => kernel.applySettings(next)),
  );
  // Before the first await: an unhandled SIGHUP would end the process.
  watcher.start();
  try {
    await kernel.start(settings);
    log.writeInfo('Started.', {pid: process.pid});
  } catch (thrown) {
    log.writeError('The start failed.', {error: getErrorText(thrown)});
    await writer.close();
    process.exit(EXIT_START_FAILED);
  }
}

function listGroups(
  services: readonly AnyServiceDefinition[],
): SettingsGroup[] {
  const groups: SettingsGroup[] = [];
  for (const {key, settings} of services) {
    if (Object.keys(settings.shape).length === 0) continue;
    groups.push({name: key.name, schema: settings});
  }
  return [...groups, {name: 'log', schema: LOG_SETTINGS}];
}

/** Reads and validates the settings; gives all errors, one sentence each. */
function readSettings(
  call: ProgramInvocation,
  groups: readonly SettingsGroup[],
): Result<SettingsValues, string[]> {
  const path = call.env[call.settingsFileVariable];
  if (path === undefined) return parseSettings(groups, call.args, call.env);
  const file = readSettingsFile(path);
  if (file.isErr()) return err([file.error]);
  return parseSettings(groups, call.args, call.env, file.value);
}

function handleStopSignals(
  kernel: Kernel,
  log: Logger,
  writer: LineWriter,
): void {
  let isStopping = false;
  const handleStop = (signal: string): void => {
    log.writeInfo('Received a stop signal.', {signal, again: isStopping});
    if (isStopping) process.exit(EXIT_FORCED);
    isStopping = true;
    void kernel.stop().then(async () => {
      log.writeInfo('Stopped.', {});
      await writer.close();
      process.exit(0);
    });
  };
  process.on('SIGTERM', handleStop);
  process.on('SIGINT', handleStop);
}
