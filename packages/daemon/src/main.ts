/** The program `irisdockd`: parses settings, starts, and stops on signals. */
import {
  formatSettingsHelp,
  getErrorText,
  parseSettings,
  startLogs,
} from '@irisdock/kernel';
import {createDaemon, SETTINGS_GROUPS, type Daemon} from './daemon.js';

const EXIT_START_FAILED = 1;
const EXIT_USAGE = 2;
const EXIT_INTERRUPTED = 3;

const HELP_INTRO = `irisdockd: the daemon of an entry host.

Every setting is a flag or an environment variable; flags take precedence.
SIGTERM or SIGINT drains: the host announces that it is leaving, keeps serving
while callers may still have its address, waits for the requests in flight and
exits with status 0. A second signal interrupts the requests in flight and exits
with status 3. If the start fails, the exit status is 1; for invalid settings it
is 2.
`;

/** Runs the daemon until a signal stops it. */
export async function runDaemon(
  args: readonly string[],
  env: Readonly<Record<string, string | undefined>>,
): Promise<void> {
  if (args.includes('--help')) {
    const help = formatSettingsHelp(SETTINGS_GROUPS);
    process.stdout.write(`${HELP_INTRO}\nSettings:\n${help}\n`);
    return;
  }
  const settings = parseSettings(SETTINGS_GROUPS, args, env);
  if (settings.isErr()) {
    for (const error of settings.error) process.stderr.write(`${error}\n`);
    process.exitCode = EXIT_USAGE;
    return;
  }
  startLogs();
  const daemon = createDaemon(settings.value);
  try {
    const addresses = await daemon.start(settings.value);
    process.stdout.write(
      `${JSON.stringify({ready: true, place: addresses})}\n`,
    );
  } catch (thrown) {
    daemon.log.writeError('Failed to start.', {error: getErrorText(thrown)});
    process.exit(EXIT_START_FAILED);
  }
  handleSignals(daemon);
}

function handleSignals(daemon: Daemon): void {
  let isDraining = false;
  const handle = (signal: string): void => {
    if (isDraining) {
      daemon.log.writeWarning('Second signal: aborting requests in flight.', {
        signal,
      });
      process.exit(EXIT_INTERRUPTED);
    }
    isDraining = true;
    daemon.log.writeInfo('Draining; a second signal cuts what is in flight.', {
      signal,
    });
    void daemon.stop().then(() => {
      process.exit(0);
    });
  };
  process.on('SIGTERM', handle);
  process.on('SIGINT', handle);
}
