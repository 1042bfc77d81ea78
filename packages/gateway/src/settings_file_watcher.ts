/**
 * Reloads the settings file on SIGHUP or when its modification time changes. A
 * file with errors changes no setting; all its errors are logged together.
 */
import {stat} from 'node:fs/promises';
import {
  getErrorText,
  type Clock,
  type Logger,
  type SettingsChange,
} from '@irisdock/kernel';
import type {Result} from 'neverthrow';

/** The time between two checks of the modification time, in ms. */
const POLL_INTERVAL_MS = 2000;

/** Watches the settings file and reloads it. */
export class SettingsFileWatcher {
  private lastChangeMs: number | undefined;

  /**
   * @param path The path of the file; undefined when there is none.
   * @param apply Reads the settings and passes them to the services.
   */
  constructor(
    private readonly path: string | undefined,
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly apply: () => Result<SettingsChange, string[]>,
  ) {}

  /** Starts to watch, until the process ends. */
  start(): void {
    process.on('SIGHUP', () => {
      this.load('signal');
    });
    if (this.path !== undefined) void this.run(this.path);
  }

  private async run(path: string): Promise<void> {
    this.lastChangeMs = await this.readChangeTime(path);
    for (;;) {
      await this.clock.wait(POLL_INTERVAL_MS);
      const changeMs = await this.readChangeTime(path);
      if (changeMs === undefined || changeMs === this.lastChangeMs) continue;
      this.lastChangeMs = changeMs;
      this.load('file');
    }
  }

  private load(cause: 'file' | 'signal'): void {
    const change = this.apply();
    if (change.isErr()) {
      const faults = change.error.join(' ');
      this.log.writeError('The settings are invalid; keeping the old ones.', {
        cause,
        faults,
      });
      return;
    }
    this.log.writeInfo('Reloaded the settings.', {
      cause,
      inForce: change.value.inForce.join(', '),
      atNextStart: change.value.atNextStart.join(', '),
    });
  }

  /** Reads the modification time, in ms; undefined when that failed. */
  private async readChangeTime(path: string): Promise<number | undefined> {
    try {
      return (await stat(path)).mtimeMs;
    } catch (thrown) {
      const error = getErrorText(thrown);
      this.log.writeWarning('Cannot read the settings file.', {path, error});
      return undefined;
    }
  }
}
