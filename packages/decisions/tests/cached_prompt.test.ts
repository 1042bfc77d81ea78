/** How much of a prompt an engine keeps. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {computeCachedTokens} from '@irisdock/decisions';

const PROMPT = [
  {id: 'shared', tokens: 200},
  {id: 'more', tokens: 300},
  {id: 'own', tokens: 5000},
];

describe('the tokens of a prompt that are kept', () => {
  const cases: readonly [string, readonly [string, number][], number][] = [
    ['nothing', [], 0],
    ['another prompt', [['other', 5000]], 0],
    [
      'all of it',
      [
        ['shared', 200],
        ['more', 300],
        ['own', 5000],
      ],
      5500,
    ],
    [
      'a last part that is cut',
      [
        ['shared', 200],
        ['more', 300],
        ['own', 4992],
      ],
      5492,
    ],
    [
      'a middle part that is cut',
      [
        ['shared', 200],
        ['more', 100],
        ['own', 5000],
      ],
      300,
    ],
    ['no first part', [['own', 5000]], 0],
    ['more than was asked for', [['shared', 900]], 200],
  ];
  for (const [what, kept, tokens] of cases) {
    it(`are ${tokens} of ${what}`, () => {
      assert.equal(computeCachedTokens(PROMPT, new Map(kept)), tokens);
    });
  }
});
