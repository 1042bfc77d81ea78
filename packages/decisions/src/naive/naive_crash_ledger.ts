/**
 * Reference implementation of `CrashLedger.decide`: recomputes everything from
 * the list of all crashes. Tests compare the ledger with it.
 */
import {hashText} from '../hash.js';
import {
  MAX_CRASHES,
  REFUSAL_THRESHOLD,
  type ContentVerdict,
  type Crash,
} from '../crash_ledger.js';

/** Decides how a content is handled, by looking at every crash. */
export function decideContentNaively(
  crashes: readonly Crash[],
  content: string,
): ContentVerdict {
  const instanceIds = listInstances(crashes, content);
  if (instanceIds.length === 0) return 'clear';
  if (instanceIds.length >= MAX_CRASHES) return 'refused';
  if (instanceIds.length < REFUSAL_THRESHOLD) return 'suspected';
  const rank = computeRank(crashes, content);
  if (rank < SOLE_SUSPECT_RANK) return 'suspected';
  const attributed = instanceIds.filter((instanceId) => {
    const contents = [
      content,
      ...listOtherContents(crashes, content, instanceId),
    ];
    contents.sort(
      (a, b) =>
        computeRank(crashes, b) - computeRank(crashes, a) ||
        hashText(`${instanceId}/${a}`) - hashText(`${instanceId}/${b}`),
    );
    return contents[0] === content;
  });
  return attributed.length >= REFUSAL_THRESHOLD ? 'refused' : 'suspected';
}

/** What a crash without another suspect adds to the rank of a content. */
const SOLE_SUSPECT_RANK = 100;

/** Ranks a content by crashes without another suspect, then by all crashes. */
function computeRank(crashes: readonly Crash[], content: string): number {
  const instanceIds = listInstances(crashes, content);
  const soleSuspectCrashes = instanceIds.filter((instanceId) =>
    listOtherContents(crashes, content, instanceId).every(
      (other) => listInstances(crashes, other).length < 2,
    ),
  );
  if (soleSuspectCrashes.length >= 2) return 2 * SOLE_SUSPECT_RANK;
  return soleSuspectCrashes.length * SOLE_SUSPECT_RANK + instanceIds.length;
}

/** Lists the other contents that ran on an instance when it ended. */
function listOtherContents(
  crashes: readonly Crash[],
  content: string,
  instanceId: string,
): string[] {
  const contents = new Set(crashes.map((crash) => crash.content));
  contents.delete(content);
  return [...contents].filter((other) =>
    listInstances(crashes, other).includes(instanceId),
  );
}

/** Lists the instances that ended while they ran a content, each once. */
function listInstances(crashes: readonly Crash[], content: string): string[] {
  const instanceIds: string[] = [];
  for (const crash of crashes) {
    if (crash.content !== content) continue;
    if (
      instanceIds.includes(crash.instanceId) ||
      instanceIds.length === MAX_CRASHES
    ) {
      continue;
    }
    instanceIds.push(crash.instanceId);
  }
  return instanceIds;
}
