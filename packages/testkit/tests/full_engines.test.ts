/** Resumed answers wait in the queue of a full engine until it has room. */
import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import {
  checkWholeAnswer,
  createAsk,
  createDeployment,
  streamWhole,
  waitUntil,
  type CallerState,
  type Deployment,
} from '@irisdock/testkit';

const SLOTS = 30;
const STEP_MS = 15;
/** An answer takes some 4 s, well over the bound on a first token below. */
const ANSWER_TOKENS = 260;

describe('an answer that goes on at a full engine', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await createDeployment({
      daemons: 1,
      engines: 2,
      engineArgs: [
        ...['--engine-slots', String(SLOTS)],
        ...['--engine-step-ms', String(STEP_MS)],
      ],
      daemonArgs: ['--streams-min-first-token-ms', '200'],
    });
  });
  after(async () => {
    await deployment.stop();
  });

  it('waits for a slot there and is not taken for stalled', async () => {
    const begun = new Set<CallerState>();
    const asks = Array.from({length: 2 * SLOTS}, () =>
      streamWhole(
        deployment.listAddresses(),
        createAsk({maxTokens: ANSWER_TOKENS}),
        (state) => {
          begun.add(state);
          return undefined;
        },
      ),
    );
    await waitUntil('all answers run', () => begun.size === asks.length);
    const [engine] = deployment.engines;
    assert.ok(engine !== undefined);
    engine.process.sendSignal('SIGKILL');
    for (const state of await Promise.all(asks)) {
      checkWholeAnswer(state, ANSWER_TOKENS);
    }
  });
});
