/**
 * At most once, with processes: what is not repeatable is started once,
 * however often and wherever it is sent, and its callers learn at once how
 * it stands.
 */
import assert from 'node:assert/strict';
import {after, before, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {checkText} from '@irisdock/standins';
import {
  checkWholeAnswer,
  createAsk,
  createCallerState,
  createHostDeployment,
  createIdOf,
  PROMPT,
  addMissingNodes,
  streamOnce,
  streamWhole,
  TOKENS,
  waitDead,
  type CallerState,
  type DaemonNode,
  type Deployment,
} from '@irisdock/testkit';

/** Splits callers into those with a whole answer and the others. */
function splitByEnd(
  states: readonly CallerState[],
): [whole: CallerState[], others: CallerState[]] {
  const whole = states.filter((state) => state.done);
  const others = states.filter((state) => !state.done);
  return [whole, others];
}

describe('entry hosts and a request id', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await createHostDeployment();
  });
  after(async () => {
    await deployment.stop();
  });
  beforeEach(async () => {
    await addMissingNodes(deployment);
  });

  function getHost(at: number): DaemonNode {
    return deployment.getDaemon(at);
  }

  it('join a caller that comes back to the same host', async () => {
    const {caller} = getHost(0).places;
    const state = createCallerState();
    await streamOnce(
      caller,
      createAsk(),
      state,
      (now) => now.ids.length === 20,
    );
    await streamOnce(caller, createAsk(), state);
    checkWholeAnswer(state);
    const runs = await deployment.countRuns(state.requestId);
    assert.equal(runs.starts, 1);
    assert.equal(runs.tokens, TOKENS);
  });

  it('start a request once, though it is sent many times at the same moment', async () => {
    const host = getHost(0);
    const requestId = await createIdOf(host);
    const ask = createAsk({requestId, repeatable: false});
    const {caller} = host.places;
    const states = await Promise.all(
      Array.from({length: 6}, () => streamWhole([caller], ask)),
    );
    const [whole, others] = splitByEnd(states);
    assert.ok(whole.length >= 1);
    for (const state of whole) checkWholeAnswer(state);
    for (const {text, error} of others) {
      const {repeated, mixed} = checkText(PROMPT, text, TOKENS);
      assert.equal(repeated + mixed, 0);
      // Told at once, where a caller that is held would run out of patience.
      assert.match(error, /"kind":"answer_taken_up"/);
    }
    const runs = await deployment.countRuns(requestId);
    assert.equal(runs.starts, 1);
    assert.equal(runs.continues, 0);
    assert.equal(runs.tokens, TOKENS);
  });

  it('tell a caller whose answer was taken up by its newer connection', async () => {
    const {caller} = getHost(0).places;
    const older = createCallerState();
    const newer = createCallerState();
    let second: Promise<void> | undefined;
    await streamOnce(caller, createAsk(), older, (now) => {
      if (now.ids.length !== 20) return false;
      newer.requestId = now.requestId;
      second = streamOnce(caller, createAsk(), newer);
      return false;
    });
    assert.match(older.error, /"kind":"answer_taken_up"/);
    await second;
    checkWholeAnswer(newer);
    const runs = await deployment.countRuns(newer.requestId);
    assert.equal(runs.starts, 1);
    assert.equal(runs.tokens, TOKENS);
  });

  it('give an ended answer again to a caller that lost its end', async () => {
    const {caller} = getHost(0).places;
    const state = await streamWhole([caller], createAsk());
    const again = createCallerState();
    again.requestId = state.requestId;
    await streamOnce(caller, createAsk(), again);
    checkWholeAnswer(again);
    assert.equal(again.text, state.text);
    const runs = await deployment.countRuns(state.requestId);
    assert.equal(runs.starts, 1);
  });

  it('forget the text of an ended answer, not that it was given', async () => {
    const host = await deployment.addDaemon(['--streams-keep-ended-ms', '50']);
    await deployment.publishHosts();
    await deployment.waitReady();
    const {caller} = host.places;
    const state = await streamWhole([caller], createAsk({repeatable: false}));
    checkWholeAnswer(state);
    await sleep(300);
    const again = createCallerState();
    again.requestId = state.requestId;
    await streamOnce(caller, createAsk({repeatable: false}), again);
    assert.equal(again.status, 409);
    assert.match(again.error, /"kind":"answer_forgotten"/);
    const runs = await deployment.countRuns(state.requestId);
    assert.equal(runs.starts, 1);
    await host.process.kill();
    await deployment.publishHosts();
  });

  it('start what is not repeatable once, though it is sent to all of them', async () => {
    const owner = getHost(0);
    const requestId = await createIdOf(owner);
    const ask = createAsk({requestId, repeatable: false});
    const states = await Promise.all(
      deployment.listAddresses().map((address) => streamWhole([address], ask)),
    );
    const [first, ...others] = states;
    assert.ok(first !== undefined);
    checkWholeAnswer(first);
    for (const other of others) {
      assert.equal(other.status, 307);
      assert.match(other.location, new RegExp(owner.places.caller));
      assert.match(other.error, /"outcome":"not-run"/);
    }
    const runs = await deployment.countRuns(requestId);
    assert.equal(runs.starts, 1);
  });

  it('say that the outcome is unknown once the owner is gone', async () => {
    const [owner, other] = [getHost(0), getHost(1)];
    const requestId = await createIdOf(owner);
    owner.process.sendSignal('SIGKILL');
    await waitDead(other, owner);
    const ask = createAsk({requestId, repeatable: false});
    const state = await streamWhole([other.places.caller], ask);
    assert.equal(state.status, 409);
    assert.match(state.error, /"kind":"outcome_unknown"/);
    const again = await streamWhole(
      [other.places.caller],
      createAsk({requestId, repeatable: true}),
    );
    checkWholeAnswer(again);
    const runs = await deployment.countRuns(requestId);
    assert.equal(runs.starts, 1);
  });

  it('run what a frozen owner held back no second time', async () => {
    const [owner, other] = [getHost(0), getHost(1)];
    const requestId = await createIdOf(owner);
    const ask = createAsk({requestId, repeatable: false});
    owner.process.sendSignal('SIGSTOP');
    // The request waits in the frozen host's socket.
    const held = streamWhole([owner.places.caller], ask);
    await waitDead(other, owner);
    const refused = await streamWhole([other.places.caller], ask);
    assert.match(refused.error, /"kind":"outcome_unknown"/);
    owner.process.sendSignal('SIGCONT');
    checkWholeAnswer(await held);
    const runs = await deployment.countRuns(requestId);
    assert.equal(runs.starts, 1);
  });

  it('refuse an id of the caller for what is not repeatable', async () => {
    const ask = createAsk({requestId: 'my-own-id', repeatable: false});
    const state = await streamWhole([getHost(0).places.caller], ask);
    assert.equal(state.status, 400);
    assert.match(state.error, /"kind":"unbound_id"/);
  });
});
