/**
 * Structured logs by roarr: one JSON object a line. Every
 * part of the system has a fixed prefix, given as `part`, and writes short
 * sentences; what varies goes into fields.
 */
import './roarr_switch.js';
import {Roarr, ROARR} from 'roarr';
import type {LineWriter} from './line_writer.js';

/** Fields of a log line. */
export type LogFields = Readonly<
  Record<string, boolean | number | string | undefined>
>;

/** Levels in rising order. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error', 'off'] as const;
/** The least level that is written. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Writes log lines with one prefix. */
export interface Logger {
  writeDebug(sentence: string, fields?: LogFields): void;
  writeInfo(sentence: string, fields?: LogFields): void;
  writeWarning(sentence: string, fields?: LogFields): void;
  writeError(sentence: string, fields?: LogFields): void;
  /** Gives a logger for another part, with the same level and base fields. */
  createPart(part: string): Logger;
}

type WrittenLevel = Exclude<LogLevel, 'off'>;

/** A logger on roarr. */
export class RoarrLogger implements Logger {
  constructor(
    private readonly part: string,
    private readonly least: LogLevel,
    private readonly base: LogFields = {},
  ) {}

  writeDebug(sentence: string, fields: LogFields = {}): void {
    this.write('debug', sentence, fields);
  }

  writeInfo(sentence: string, fields: LogFields = {}): void {
    this.write('info', sentence, fields);
  }

  writeWarning(sentence: string, fields: LogFields = {}): void {
    this.write('warn', sentence, fields);
  }

  writeError(sentence: string, fields: LogFields = {}): void {
    this.write('error', sentence, fields);
  }

  createPart(part: string): Logger {
    return new RoarrLogger(part, this.least, this.base);
  }

  private write(
    level: WrittenLevel,
    sentence: string,
    fields: LogFields,
  ): void {
    if (LOG_LEVELS.indexOf(level) < LOG_LEVELS.indexOf(this.least)) return;
    const context = {part: this.part, ...this.base, ...fields};
    // The sentence is an argument, so that a per cent sign in it is no format.
    Roarr[level](context, '%s', `${this.part}: ${sentence}`);
  }
}

/** Sends all log lines to standard error. */
export function startLogs(): void {
  ROARR.write = (line) => {
    process.stderr.write(`${line}\n`);
  };
}

/** Sends all log lines to a bounded writer. */
export function startLogsTo(writer: LineWriter): void {
  ROARR.write = (line) => {
    writer.write(line);
  };
}
