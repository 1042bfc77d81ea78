/**
 * Weighted sampling without replacement, by systematic sampling: items are laid
 * out in random order, each as long as its weight, and taken at equal distances
 * from a random start. The chance of each item to be in the sample is exactly
 * proportional to its weight, except that an item whose weight calls for more
 * is in every sample. Drawing one item after another by weight would favour
 * the light ones.
 */
import {getSample, getShuffled, type Random} from '@irisdock/kernel';
import {
  computeHostWeights,
  computeSum,
  hasUnequalWeights,
  type SizedHost,
} from './host_capacity.js';

interface WeightedItem<T> {
  readonly item: T;
  readonly weight: number;
}

/** The number of distinct random starts. */
const START_STEPS = 1_000_000;

/**
 * Draws some items, each at most once, in random order.
 *
 * @param weights The weight of each item, above 0.
 * @param count How many; all of them if there are no more.
 */
export function getWeightedSample<T>(
  items: readonly T[],
  weights: readonly number[],
  count: number,
  random: Random,
): T[] {
  const weighted = items.map((item, at) => ({item, weight: weights[at] ?? 0}));
  const shuffled = getShuffled(weighted, random);
  if (items.length <= count) return shuffled.map(({item}) => item);
  const {certain, others} = splitCertain(shuffled, count);
  const drawn = takeAtIntervals(others, count - certain.length, random);
  const sample = [...certain, ...drawn].map(({item}) => item);
  return getShuffled(sample, random);
}

/**
 * Draws some hosts, each at most once: by what they can carry if they are
 * unequal, else all alike.
 *
 * @param sizes What each host can carry.
 */
export function getSizedSample<H>(
  hosts: readonly H[],
  sizes: readonly SizedHost[],
  count: number,
  random: Random,
): H[] {
  const weights = computeHostWeights(sizes);
  return hasUnequalWeights(weights)
    ? getWeightedSample(hosts, weights, count, random)
    : getSample(hosts, count, random);
}

/** Draws some hosts by what is known of their places, as `getSizedSample`. */
export function getHostSample<H extends {readonly place: SizedHost}>(
  hosts: readonly H[],
  count: number,
  random: Random,
): H[] {
  const sizes = hosts.map(({place}) => place);
  return getSizedSample(hosts, sizes, count, random);
}

/** Splits off the items that are in every sample, the heaviest first. */
function splitCertain<T>(
  weighted: readonly WeightedItem<T>[],
  count: number,
): {certain: WeightedItem<T>[]; others: WeightedItem<T>[]} {
  const sorted = [...weighted].sort((a, b) => b.weight - a.weight);
  const certain = new Set<WeightedItem<T>>();
  let left = computeSum(weighted.map(({weight}) => weight));
  for (const one of sorted) {
    if (one.weight * (count - certain.size) < left) break;
    certain.add(one);
    left -= one.weight;
  }
  const others = weighted.filter((one) => !certain.has(one));
  return {certain: [...certain], others};
}

function takeAtIntervals<T>(
  weighted: readonly WeightedItem<T>[],
  count: number,
  random: Random,
): WeightedItem<T>[] {
  if (count <= 0) return [];
  const interval = computeSum(weighted.map(({weight}) => weight)) / count;
  let next = (random.getInt(START_STEPS) / START_STEPS) * interval;
  let reached = 0;
  const drawn: WeightedItem<T>[] = [];
  for (const one of weighted) {
    reached += one.weight;
    if (next >= reached) continue;
    drawn.push(one);
    next += interval;
  }
  return drawn;
}
