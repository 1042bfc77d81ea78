/** Tests of how much of a prompt an engine has cached. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {computeCachedTokens} from '@irisdock/decisions';

const PROMPT = [
  {id: 'shared', tokens: 200},
  {id: 'more', tokens: 300},
  {id: 'own', tokens: 5000},
];

describe('computeCachedTokens', () => {
  const cases: readonly [string, readonly [string, number][], number][] = [
    ['an empty cache', [], 0],
    ['another prompt', [['other', 5000]], 0],
    [
      'the full prompt',
      [
        ['shared', 200],
        ['more', 300],
        ['own', 5000],
      ],
      5500,
    ],
    [
      'a truncated last part',
      [
        ['shared', 200],
        ['more', 300],
        ['own', 4992],
      ],
      5492,
    ],
    [
      'a truncated middle part',
      [
        ['shared', 200],
        ['more', 100],
        ['own', 5000],
      ],
      300,
    ],
    ['a missing first part', [['own', 5000]], 0],
    ['a first part that is cached longer', [['shared', 900]], 200],
  ];
  for (const [what, cached, tokens] of cases) {
    it(`returns ${tokens} for ${what}`, () => {
      assert.equal(computeCachedTokens(PROMPT, new Map(cached)), tokens);
    });
  }
});
