/** Options of programs. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {parseProgramOptions} from '@irisdock/kernel';

const USAGE = 'program [--seed N]';
const OPTIONS = {seed: {type: 'string', default: '1'}} as const;

describe('the options of a program', () => {
  it('are read', () => {
    const parsed = parseProgramOptions(
      {args: ['--seed', '7'], options: OPTIONS},
      USAGE,
    );
    assert.equal(parsed._unsafeUnwrap().values.seed, '7');
  });

  for (const args of [['--other'], ['word'], ['--seed']]) {
    it(`are refused with the usage: ${args.join(' ')}`, () => {
      const parsed = parseProgramOptions({args, options: OPTIONS}, USAGE);
      assert.ok(parsed._unsafeUnwrapErr().endsWith(USAGE));
    });
  }
});
