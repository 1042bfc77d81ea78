/** What a ledger of crashes decides, from the list of all crashes. */
import {
  MAX_CRASHES,
  REFUSAL_THRESHOLD,
  type ContentVerdict,
  type Crash,
} from '../crash_ledger.js';

/** Decides on a content by looking at every crash. */
export function decideContentNaively(
  crashes: readonly Crash[],
  content: string,
): ContentVerdict {
  const own = listStarts(crashes, content);
  if (own.length === 0) return 'clear';
  if (own.length >= MAX_CRASHES) return 'refused';
  if (own.length < REFUSAL_THRESHOLD) return 'suspected';
  const rank = computeRank(crashes, content);
  if (rank < UNSHARED_RANK) return 'suspected';
  let counted = 0;
  for (const start of own) {
    const others = listOthers(crashes, content, start);
    const ranks = others.map((other) => computeRank(crashes, other));
    const most = Math.max(0, ...ranks);
    if (most < rank) counted += 1;
    else if (most === rank) counted += 0.5;
  }
  return counted >= REFUSAL_THRESHOLD ? 'refused' : 'suspected';
}

/** What a crash without another suspect adds to a rank. */
const UNSHARED_RANK = 100;

/** Ranks by crashes without another suspect, then by all crashes. */
function computeRank(crashes: readonly Crash[], content: string): number {
  const starts = listStarts(crashes, content);
  const unshared = starts.filter((start) =>
    listOthers(crashes, content, start).every(
      (other) => listStarts(crashes, other).length < 2,
    ),
  );
  return unshared.length * UNSHARED_RANK + starts.length;
}

/** Lists the other contents that a start ended under. */
function listOthers(
  crashes: readonly Crash[],
  content: string,
  start: string,
): string[] {
  const contents = new Set(crashes.map((one) => one.content));
  contents.delete(content);
  return [...contents].filter((other) =>
    listStarts(crashes, other).includes(start),
  );
}

/** Lists the starts that ended under a content, each once. */
function listStarts(crashes: readonly Crash[], content: string): string[] {
  const starts: string[] = [];
  for (const one of crashes) {
    if (one.content !== content) continue;
    if (starts.includes(one.instanceId) || starts.length === MAX_CRASHES) {
      continue;
    }
    starts.push(one.instanceId);
  }
  return starts;
}
