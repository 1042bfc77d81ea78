/** Plays one seed, and reports what it showed. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {Play} from './play.js';
import type {PlayOptions, PlayReport} from './play_report.js';
import {findProgramFault} from './program_file.js';

const NANOSECONDS_PER_MS = 1_000_000;

/** Plays one seed. */
export async function runPlay(
  seed: number,
  options: PlayOptions,
): Promise<PlayReport> {
  const programFault = findProgramFault(options.program);
  if (programFault !== undefined) throw new Error(programFault);
  const directory = mkdtempSync(join(tmpdir(), `irisdock-soak-${seed}-`));
  const play = new Play(seed, options, directory);
  const stalls = monitorEventLoopDelay();
  stalls.enable();
  const faults = await play.run().finally(() => play.stop());
  const {ends, faults: broken} = play.witness;
  const {counts} = ends;
  if (broken.length === 0) rmSync(directory, {recursive: true});
  const versions = play.configuration.version;
  const limited = play.limits.countChecked();
  const longestStallMs = Math.round(stalls.max / NANOSECONDS_PER_MS);
  const mostDelayMs = Math.round(Math.max(0, ...play.configuration.delaysMs));
  return {
    seed,
    counts,
    cuts: Object.fromEntries(ends.cuts),
    kinds: Object.fromEntries(ends.kinds),
    versions,
    mostDelayMs,
    longestStallMs,
    limited,
    apiCalls: play.platformApi.calls,
    checkedWindows: play.platformApi.checkedWindows,
    loss: play.losses.createReport(play.witness.ended),
    hasRegions: play.hasRegions,
    isScaled: play.scaling !== undefined,
    orders: play.scaling?.orders ?? 0,
    faults,
    broken,
    directory,
  };
}
