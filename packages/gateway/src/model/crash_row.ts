/**
 * Rows of the table of crashes. There is one row for each pair of a request
 * content and an endpoint instance, so that concurrent writes of several hosts
 * don't overwrite each other. Rows in another format are ignored.
 */
import type {Crash} from '@irisdock/decisions';
import * as z from 'zod';
import {CONTENT_PATTERN} from '../serving/request_content.js';

/** The value of a row; its key names the crash. */
export interface CrashRowValue {
  /** The host that observed the crash. */
  readonly host: string;
  /** When it did so, in ms since 1970 by its own clock. */
  readonly at: number;
}

/** The longest instance id that is accepted from other hosts, in characters. */
const MAX_INSTANCE_ID_LENGTH = 120;
const SEPARATOR = '/';
const VALUE_SCHEMA = z.object({host: z.string(), at: z.number()});

/** Whether a crash reported by another host is well-formed. */
export function isCrash({content, instanceId}: Crash): boolean {
  if (!CONTENT_PATTERN.test(content)) return false;
  return instanceId !== '' && instanceId.length <= MAX_INSTANCE_ID_LENGTH;
}

/** Formats the key of a crash's row. */
export function formatCrashKey({content, instanceId}: Crash): string {
  return `${content}${SEPARATOR}${instanceId}`;
}

/** Parses the key of a row; undefined when it names no crash. */
export function parseCrashKey(key: string): Crash | undefined {
  const index = key.indexOf(SEPARATOR);
  if (index === -1) return undefined;
  const crash = {
    content: key.slice(0, index),
    instanceId: key.slice(index + 1),
  };
  return isCrash(crash) ? crash : undefined;
}

/** Formats the value of a row. */
export function formatCrashValue(value: CrashRowValue): string {
  return JSON.stringify(value);
}

/** Parses the value of a row; undefined when it is malformed. */
export function parseCrashValue(value: string): CrashRowValue | undefined {
  try {
    return VALUE_SCHEMA.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}
