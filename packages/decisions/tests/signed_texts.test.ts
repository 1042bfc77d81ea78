/** Tests that only signed request ids and resume data are accepted. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createRequestId,
  createResumeData,
  parseRequestId,
  parseResumeData,
  REQUEST_ID_PATTERN,
  Signer,
} from '@irisdock/decisions';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

const SIGNER = new Signer('a key for tests only');
const PLAIN = {noNullPrototype: true};
const MINTED = fc.record(
  {
    hostId: fc.stringMatching(/^[a-z0-9.:]{1,20}$/),
    incarnation: fc.stringMatching(/^[a-z0-9]{13}$/),
    mintedAt: fc.nat(2 ** 31 - 1),
    serial: fc.nat(2 ** 31 - 1),
  },
  PLAIN,
);
const RESUME = fc.record(
  {
    request: fc.string({maxLength: 100}),
    generation: fc.integer({min: 1, max: 2 ** 40}),
    endpoint: fc.string({maxLength: 40}),
    digest: fc.string({maxLength: 40}),
    record: fc.string({maxLength: 40}),
    modelVersion: fc.option(fc.string({maxLength: 40}), {nil: undefined}),
  },
  PLAIN,
);

describe('request ids', () => {
  it('are parsed as they were minted and are valid in a header', () => {
    fc.assert(
      fc.property(MINTED, (minted) => {
        const id = createRequestId(minted, SIGNER);
        assert.match(id, REQUEST_ID_PATTERN);
        const read = parseRequestId(id, SIGNER);
        assert.deepEqual(read, {origin: 'minted', id, minted});
      }),
      RUN_OPTIONS,
    );
  });

  it('are forged if one character or the key differs', () => {
    fc.assert(
      fc.property(MINTED, fc.nat(), (minted, seed) => {
        const id = createRequestId(minted, SIGNER);
        const at = 3 + (seed % (id.length - 3));
        const letter = id[at] === 'q' ? 'r' : 'q';
        const changed = id.slice(0, at) + letter + id.slice(at + 1);
        assert.equal(parseRequestId(changed, SIGNER).origin, 'forged');
        const other = new Signer('another key for tests');
        assert.equal(parseRequestId(id, other).origin, 'forged');
      }),
      RUN_OPTIONS,
    );
  });
});

describe('resume data', () => {
  it('is parsed as it was created', () => {
    fc.assert(
      fc.property(RESUME, (data) => {
        const text = createResumeData(data, SIGNER);
        const read = parseResumeData(text, SIGNER);
        assert.deepEqual(read._unsafeUnwrap(), data);
      }),
      RUN_OPTIONS,
    );
  });

  it('is refused for any other text', () => {
    fc.assert(
      fc.property(fc.string(), (text) => {
        assert.ok(parseResumeData(text, SIGNER).isErr());
      }),
      RUN_OPTIONS,
    );
  });
});
