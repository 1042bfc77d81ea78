/** The witness sees a stream that changes its software version. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VersionWitness} from '@irisdock/soak';

function formatEvents(...versions: readonly string[]): string {
  const events = versions.map(
    (version, at) => `id: ${at}\n: version ${version}\ndata: text\n\n`,
  );
  return events.join('');
}

describe('the witness of software versions', () => {
  it('sees a change within an answer', () => {
    const witness = new VersionWitness();
    const attempt = {attemptId: 'a-1', resumes: undefined};
    const fault = witness.recordEvents(attempt, formatEvents('v1', 'v2'));
    assert.equal(fault, 'a-1 got events of v2, a-1 of v1');
  });

  it('sees a change over the attempts of a caller', () => {
    const witness = new VersionWitness();
    const first = {attemptId: 'a-1', resumes: undefined};
    assert.equal(witness.recordEvents(first, formatEvents('v1')), undefined);
    const second = {attemptId: 'a-2', resumes: 'a-1'};
    assert.equal(witness.recordEvents(second, formatEvents('v1')), undefined);
    const third = {attemptId: 'a-3', resumes: 'a-1'};
    const fault = witness.recordEvents(third, formatEvents('v2'));
    assert.equal(fault, 'a-3 got events of v2, a-1 of v1');
  });

  it('sees none between streams', () => {
    const witness = new VersionWitness();
    for (const [attemptId, version] of [
      ['a-1', 'v1'],
      ['a-2', 'v2'],
    ] as const) {
      const attempt = {attemptId, resumes: undefined};
      const fault = witness.recordEvents(attempt, formatEvents(version));
      assert.equal(fault, undefined);
    }
  });
});
