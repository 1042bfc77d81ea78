/** What processes use, by the operating system's account. */
import {readFileSync} from 'node:fs';

const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4096;

/** Gives a process's processor time so far, in milliseconds. */
export function getCpuMs(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  return (ticks * 1000) / TICKS_PER_SECOND;
}

/** Gives a process's resident memory, in bytes. */
export function getMemoryBytes(pid: number): number {
  const text = readFileSync(`/proc/${pid}/statm`, 'utf8');
  return Number(text.split(' ')[1]) * PAGE_BYTES;
}

/** Gives the bytes that loopback has carried so far. */
export function getLoopbackBytes(): number {
  const text = readFileSync('/proc/net/dev', 'utf8');
  const line = text.split('\n').find((each) => each.includes('lo:')) ?? '';
  return Number(line.split(':')[1]?.trim().split(/\s+/)[0] ?? 0);
}
