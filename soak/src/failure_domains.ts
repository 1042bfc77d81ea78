/** The failure domains of a play, and the regions that they are in. */
import {SeededRandom} from '@irisdock/kernel';

export const DOMAINS = ['zone-1', 'zone-2', 'zone-3'];
/** The regions of the failure domains, in plays that have regions. */
export const REGIONS = {
  'zone-1': 'region-1',
  'zone-2': 'region-1',
  'zone-3': 'region-2',
};
/** One play in so many has regions. */
const REGIONS_ONE_IN = 2;

/** Whether the play of a seed has regions. */
export function hasRegions(seed: number): boolean {
  // Not from the play's own numbers, which seeds stand for.
  return new SeededRandom(seed + 2 ** 27).getInt(REGIONS_ONE_IN) === 0;
}
