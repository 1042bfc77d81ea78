/** Verdicts on new versions, by seeded trials of good and bad ones. */
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
const MOST_ANSWERS = 400;
const STEPS = 1_000_000;

interface Kind {
  /** Bad answers of each route before, as a part. */
  readonly before: readonly number[];
  /** The same of the new version. */
  readonly after: readonly number[];
  /** The part at one of its endpoints alone, if that one differs. */
  readonly worstEndpoint?: number;
  readonly endpoints: number;
}

interface Outcome {
  readonly verdict: VersionVerdict;
  readonly answers: number;
}

/** Adds answers one by one until there is a verdict of a bad version. */
function runTrial(kind: Kind, random: SeededRandom): Outcome {
  const draw = (part: number): boolean => random.getInt(STEPS) < part * STEPS;
  const counts = kind.before.map(() => ({
    before: {answers: 0, bad: 0},
    byEndpoint: new Map<string, {answers: number; bad: number}>(),
  }));
  let verdict: VersionVerdict = 'open';
  for (let answers = 1; answers <= MOST_ANSWERS; answers++) {
    const route = random.getInt(counts.length);
    const count = counts[route];
    if (count === undefined) break;
    for (let at = 0; at < 20; at++) {
      count.before.answers++;
      if (draw(kind.before[route] ?? 0)) count.before.bad++;
    }
    const endpoint = random.getInt(kind.endpoints);
    const isWorst = endpoint === 0 && kind.worstEndpoint !== undefined;
    const part = isWorst ? kind.worstEndpoint : (kind.after[route] ?? 0);
    const known = count.byEndpoint.get(`e${endpoint}`) ?? {answers: 0, bad: 0};
    known.answers++;
    if (draw(part)) known.bad++;
    count.byEndpoint.set(`e${endpoint}`, known);
    const evidence: RouteEvidence[] = counts.map((one, at) => ({
      route: `r${at}`,
      ...one,
    }));
    verdict = decideVersionVerdict(evidence);
    if (verdict === 'bad') return {verdict, answers};
  }
  return {verdict, answers: MOST_ANSWERS};
}

function countBad(kind: Kind, within = MOST_ANSWERS): number {
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
    'fails as the one before',
    {before: [0.14, 0], after: [0.14, 0], endpoints: 4},
  ],
  [
    'fails often on all routes, as the one before',
    {before: [0.3, 0.3, 0.3], after: [0.3, 0.3, 0.3], endpoints: 2},
  ],
  [
    'has one endpoint that fails half',
    {before: [0, 0], after: [0, 0], worstEndpoint: 0.5, endpoints: 4},
  ],
  [
    'is better than the one before',
    {before: [0.4], after: [0.1], endpoints: 4},
  ],
];

const BAD: readonly (readonly [string, Kind, number])[] = [
  ['fails 40 in 100', {before: [0.01], after: [0.4], endpoints: 4}, 40],
  [
    'fails 40 in 100 at its one endpoint',
    {before: [0], after: [0.4], endpoints: 1},
    40,
  ],
  [
    'fails 60 in 100 beside 14',
    {before: [0.14], after: [0.6], endpoints: 4},
    60,
  ],
  [
    'fails 60 in 100 on one of four routes',
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
