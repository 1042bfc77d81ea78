/**
 * Notices that the settings file has changed, by SIGHUP or by its time of
 * change, and has it read again. A file with faults changes nothing; the
 * faults are logged, all at once.
 */
import {stat} from 'node:fs/promises';
import {
  getErrorText,
  type Clock,
  type Logger,
  type SettingsChange,
} from '@irisdock/kernel';
import type {Result} from 'neverthrow';

/** The time between two looks at the file, in ms; a signal is noticed at once. */
const LOOK_MS = 2000;

/** Watches the settings file. */
export class SettingsFileWatcher {
  private seenChange: number | undefined;

  /**
   * @param path The file; undefined when there is none.
   * @param apply Reads the settings and gives them to the services.
   */
  constructor(
    private readonly path: string | undefined,
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly apply: () => Result<SettingsChange, string[]>,
  ) {}

  /** Starts; it runs as long as the process. */
  start(): void {
    process.on('SIGHUP', () => {
      this.load('signal');
    });
    if (this.path !== undefined) void this.run(this.path);
  }

  private async run(path: string): Promise<void> {
    this.seenChange = await this.readChangeTime(path);
    for (;;) {
      await this.clock.wait(LOOK_MS);
      const changedAt = await this.readChangeTime(path);
      if (changedAt === undefined || changedAt === this.seenChange) continue;
      this.seenChange = changedAt;
      this.load('file');
    }
  }

  private load(cause: 'file' | 'signal'): void {
    const change = this.apply();
    if (change.isErr()) {
      const faults = change.error.join(' ');
      this.log.writeError('The settings have faults; the old ones stay.', {
        cause,
        faults,
      });
      return;
    }
    this.log.writeInfo('The settings were read again.', {
      cause,
      inForce: change.value.inForce.join(', '),
      atNextStart: change.value.atNextStart.join(', '),
    });
  }

  /** Gives when the file changed last; undefined when that is not known. */
  private async readChangeTime(path: string): Promise<number | undefined> {
    try {
      return (await stat(path)).mtimeMs;
    } catch (thrown) {
      const error = getErrorText(thrown);
      this.log.writeWarning('The settings file is not there.', {path, error});
      return undefined;
    }
  }
}
