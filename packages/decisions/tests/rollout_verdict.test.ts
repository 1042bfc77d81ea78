/** Tests verdicts by seeded trials of good and bad versions. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  decideVersionVerdict,
  type AnswerCount,
  type RouteEvidence,
  type VersionVerdict,
} from '@irisdock/decisions';
import {SeededRandom} from '@irisdock/kernel';

const TRIALS = 200;
const MAX_ANSWERS = 400;
const STEPS = 1_000_000;

/** Two versions to compare. */
interface Kind {
  /** The rate of bad answers of the previous version, by route. */
  readonly before: readonly number[];
  /** The rate of bad answers of the new version, by route. */
  readonly after: readonly number[];
  /** The rate of bad answers of one endpoint, if that one differs. */
  readonly worstEndpoint?: number;
  readonly endpoints: number;
}

interface Outcome {
  readonly verdict: VersionVerdict;
  readonly answers: number;
}

/** Adds answers one by one until the verdict is bad. */
function runTrial(kind: Kind, random: SeededRandom): Outcome {
  const draw = (rate: number): boolean => random.getInt(STEPS) < rate * STEPS;
  const counts = kind.before.map(() => ({
    before: {answers: 0, bad: 0},
    byEndpoint: new Map<string, {answers: number; bad: number}>(),
  }));
  let verdict: VersionVerdict = 'open';
  for (let answers = 1; answers <= MAX_ANSWERS; answers++) {
    const route = random.getInt(counts.length);
    const count = counts[route];
    if (count === undefined) break;
    for (let at = 0; at < 20; at++) {
      count.before.answers++;
      if (draw(kind.before[route] ?? 0)) count.before.bad++;
    }
    const endpoint = random.getInt(kind.endpoints);
    const isWorst = endpoint === 0 && kind.worstEndpoint !== undefined;
    const rate = isWorst ? kind.worstEndpoint : (kind.after[route] ?? 0);
    const known = count.byEndpoint.get(`e${endpoint}`) ?? {answers: 0, bad: 0};
    known.answers++;
    if (draw(rate)) known.bad++;
    count.byEndpoint.set(`e${endpoint}`, known);
    const evidence: RouteEvidence[] = counts.map((one, at) => ({
      route: `r${at}`,
      ...one,
    }));
    verdict = decideVersionVerdict(evidence);
    if (verdict === 'bad') return {verdict, answers};
  }
  return {verdict, answers: MAX_ANSWERS};
}

/** Counts the trials whose verdict is bad within a number of answers. */
function countBad(kind: Kind, within = MAX_ANSWERS): number {
  const random = new SeededRandom(20_261_203);
  let bad = 0;
  for (let trial = 0; trial < TRIALS; trial++) {
    const {verdict, answers} = runTrial(kind, random);
    if (verdict === 'bad' && answers <= within) bad++;
  }
  return bad;
}

const GOOD: readonly (readonly [string, Kind])[] = [
  ['never fails', {before: [0, 0], after: [0, 0], endpoints: 4}],
  [
    'fails as often as the previous one',
    {before: [0.14, 0], after: [0.14, 0], endpoints: 4},
  ],
  [
    'fails often on all routes, like the previous one',
    {before: [0.3, 0.3, 0.3], after: [0.3, 0.3, 0.3], endpoints: 2},
  ],
  [
    'has one endpoint that fails half of its answers',
    {before: [0, 0], after: [0, 0], worstEndpoint: 0.5, endpoints: 4},
  ],
  [
    'is better than the previous one',
    {before: [0.4], after: [0.1], endpoints: 4},
  ],
];

const BAD: readonly (readonly [string, Kind, number])[] = [
  [
    'fails 40% of the answers',
    {before: [0.01], after: [0.4], endpoints: 4},
    40,
  ],
  [
    'fails 40% of the answers at its only endpoint',
    {before: [0], after: [0.4], endpoints: 1},
    40,
  ],
  [
    'fails 60% of the answers instead of 14%',
    {before: [0.14], after: [0.6], endpoints: 4},
    60,
  ],
  [
    'fails 60% of the answers on one of four routes',
    {before: [0, 0, 0, 0], after: [0.6, 0, 0, 0], endpoints: 4},
    200,
  ],
];

describe('the verdict on a new version', () => {
  for (const [what, kind] of GOOD) {
    it(`is never bad for one that ${what}`, () => {
      assert.ok(countBad(kind) <= 1);
    });
  }
  for (const [what, kind, within] of BAD) {
    it(`is bad for one that ${what}, within ${within} answers`, () => {
      assert.ok(countBad(kind, within) >= 198);
    });
  }

  it('is sound after some forty good answers, and open before', () => {
    const before: AnswerCount = {answers: 1000, bad: 0};
    const decide = (answers: number): VersionVerdict =>
      decideVersionVerdict([
        {route: 'r', before, byEndpoint: new Map([['e', {answers, bad: 0}]])},
      ]);
    assert.equal(decide(5), 'open');
    assert.equal(decide(40), 'sound');
    assert.equal(decideVersionVerdict([]), 'open');
  });
});
