/** What a process uses, as the kernel counts it (`/proc`, proc(5)). */
import {readdirSync, readFileSync} from 'node:fs';

const KIB_PER_MB = 1_000_000 / 1024;

/** Gives the largest resident memory that a process has had, in MB. */
export function getPeakMemoryMb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kib = /^VmHWM:\s+(\d+) kB$/mu.exec(status)?.[1];
  if (kib === undefined) throw new Error(`No memory is told of ${pid}.`);
  return Number(kib) / KIB_PER_MB;
}

/** Counts the open descriptors of a process. */
export function countDescriptors(pid: number): number {
  return readdirSync(`/proc/${pid}/fd`).length;
}
