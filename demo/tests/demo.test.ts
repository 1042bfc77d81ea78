/** The demonstration ends with whole answers. */
import assert from 'node:assert/strict';
import {it} from 'node:test';
import {createBareDeployment} from '@irisdock/testkit';
import {declareResources, runDemo} from '../src/demo.js';

it('kills an engine and a daemon under two whole answers', async () => {
  const deployment = await createBareDeployment({
    daemons: 2,
    engines: 3,
    engineArgs: ['--engine-step-ms', '10'],
  });
  try {
    await declareResources(deployment);
    await deployment.waitReady();
    const report = await runDemo(deployment);
    assert.equal(report.whole, true);
    assert.equal(report.missing + report.repeated, 0);
    assert.equal(report.tokensRedone, 0);
  } finally {
    await deployment.stop();
  }
});
