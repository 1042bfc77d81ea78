/** The demonstration ends with whole answers. */
import assert from 'node:assert/strict';
import {it} from 'node:test';
import {runDemo} from '../src/demo.js';

it('kills an engine and a daemon under two whole answers', async () => {
  const report = await runDemo();
  assert.equal(report.whole, true);
  assert.equal(report.missing + report.repeated, 0);
  assert.equal(report.tokensRedone, 0);
});
