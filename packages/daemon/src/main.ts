/** The program `irisdockd`: settings, start, and stop by signals. */
import {
  formatSettingsHelp,
  getErrorText,
  parseSettings,
  startLogs,
} from '@irisdock/kernel';
import {createDaemon, SETTINGS_GROUPS, type Daemon} from './daemon.js';

const EXIT_FAULT = 1;
const EXIT_USAGE = 2;
const EXIT_CUT = 3;

const HELP_HEAD = `irisdockd: the daemon of an entry host.

Every setting is a flag or an environment variable; the flag goes first.
SIGTERM or SIGINT drains: the host leaves, serves on while callers may still
have its address, waits for the last answer, and ends with 0. A second signal
cuts what is in flight and ends with 3. A start that fails ends with 1, wrong
settings with 2.
`;

/** Runs the daemon until a signal ends it. */
export async function runDaemon(
  args: readonly string[],
  env: Readonly<Record<string, string | undefined>>,
): Promise<void> {
  if (args.includes('--help')) {
    const help = formatSettingsHelp(SETTINGS_GROUPS);
    process.stdout.write(`${HELP_HEAD}\nSettings:\n${help}\n`);
    return;
  }
  const settings = parseSettings(SETTINGS_GROUPS, args, env);
  if (settings.isErr()) {
    for (const fault of settings.error) process.stderr.write(`${fault}\n`);
    process.exitCode = EXIT_USAGE;
    return;
  }
  startLogs();
  const daemon = createDaemon(settings.value);
  try {
    const place = await daemon.start(settings.value);
    process.stdout.write(`${JSON.stringify({ready: true, place})}\n`);
  } catch (thrown) {
    daemon.log.writeError('The start failed.', {error: getErrorText(thrown)});
    process.exit(EXIT_FAULT);
  }
  handleSignals(daemon);
}

function handleSignals(daemon: Daemon): void {
  let leaving = false;
  const handle = (signal: string): void => {
    if (leaving) {
      daemon.log.writeWarning('A second signal: cutting what is in flight.', {
        signal,
      });
      process.exit(EXIT_CUT);
    }
    leaving = true;
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
