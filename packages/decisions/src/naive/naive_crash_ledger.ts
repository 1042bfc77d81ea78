/** What a ledger of crashes decides, from the list of all crashes. */
import {
  MOST_CRASHES,
  REFUSED_FROM,
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
  if (own.length >= MOST_CRASHES) return 'refused';
  if (own.length < REFUSED_FROM) return 'suspected';
  let counted = 0;
  for (const start of own) {
    const others = crashes
      .filter((one) => one.instanceId === start && one.content !== content)
      .map((one) => listStarts(crashes, one.content).length);
    const most = Math.max(0, ...others);
    if (most < own.length) counted += 1;
    else if (most === own.length) counted += 0.5;
  }
  return counted >= REFUSED_FROM ? 'refused' : 'suspected';
}

/** Lists the starts that ended under a content, each once. */
function listStarts(crashes: readonly Crash[], content: string): string[] {
  const starts: string[] = [];
  for (const one of crashes) {
    if (one.content !== content) continue;
    if (starts.includes(one.instanceId) || starts.length === MOST_CRASHES) {
      continue;
    }
    starts.push(one.instanceId);
  }
  return starts;
}
