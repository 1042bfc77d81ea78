/** Runs the demonstration; ends with 1 when an answer is not whole. */
import {createBareDeployment} from '@irisdock/testkit';
import {declareResources, runDemo} from './demo.js';

const deployment = await createBareDeployment({
  daemons: 2,
  engines: 3,
  engineArgs: ['--engine-step-ms', '10'],
});
try {
  await declareResources(deployment);
  await deployment.waitReady();
  const report = await runDemo(deployment);
  process.stdout.write(`${JSON.stringify(report)}\n`);
  process.exitCode = report.whole ? 0 : 1;
} finally {
  await deployment.stop();
}
