/**
 * Crashes as rows of a table: one for each content and start of an endpoint, so
 * that hosts that write at the same time add up. What other writers put there
 * is left alone.
 */
import type {Crash} from '@irisdock/decisions';
import * as z from 'zod';
import {CONTENT_PATTERN} from '../serving/request_content.js';

/** What a row tells beside its crash. */
export interface CrashRowValue {
  /** The host that saw it. */
  readonly host: string;
  /** When, in ms since 1970 by the clock of that host. */
  readonly at: number;
}

/** The longest instance id that is taken from others, in characters. */
const MAX_INSTANCE_LENGTH = 120;
const SEPARATOR = '/';
const NOTE = z.object({host: z.string(), at: z.number()});

/** Whether a crash that another told can be one. */
export function isCrash({content, instanceId}: Crash): boolean {
  if (!CONTENT_PATTERN.test(content)) return false;
  return instanceId !== '' && instanceId.length <= MAX_INSTANCE_LENGTH;
}

/** Gives the key of a crash's row. */
export function formatCrashKey({content, instanceId}: Crash): string {
  return `${content}${SEPARATOR}${instanceId}`;
}

/** Reads the key of a row; undefined when it names no crash. */
export function parseCrashKey(key: string): Crash | undefined {
  const at = key.indexOf(SEPARATOR);
  if (at === -1) return undefined;
  const crash = {content: key.slice(0, at), instanceId: key.slice(at + 1)};
  return isCrash(crash) ? crash : undefined;
}

/** Writes what a row tells. */
export function formatCrashValue(note: CrashRowValue): string {
  return JSON.stringify(note);
}

/** Reads what a row tells; undefined when it is not readable. */
export function parseCrashValue(value: string): CrashRowValue | undefined {
  try {
    return NOTE.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}
