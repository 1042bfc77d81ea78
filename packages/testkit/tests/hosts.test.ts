/**
 * Promises on entry hosts with processes: an answer goes on elsewhere when
 * its host dies or freezes; a planned stop cuts nothing.
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
  getJson,
  PROMPT,
  readEndpoint,
  sendHttp,
  addMissingNodes,
  streamOnce,
  streamWhole,
  TOKENS,
  waitUntil,
  type AddressAnswer,
  type DaemonNode,
  type Deployment,
} from '@irisdock/testkit';

describe('entry hosts', () => {
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

  it('pass an answer on when one is killed, without a token redone', async () => {
    const [one, two] = [getHost(0), getHost(1)];
    const state = await streamWhole(
      [one.places.caller, two.places.caller],
      createAsk(),
      (now) => {
        if (now.ids.length === 20) one.process.sendSignal('SIGKILL');
        return undefined;
      },
    );
    checkWholeAnswer(state);
    const runs = await deployment.countRuns(state.requestId);
    assert.deepEqual(runs, {
      starts: 1,
      continues: 0,
      attaches: 1,
      tokens: TOKENS,
    });
  });

  it('pass an answer on whose generation number had grown', async () => {
    const [one, two] = [getHost(0), getHost(1)];
    const state = await streamWhole(
      [one.places.caller, two.places.caller],
      createAsk(),
      (now) => {
        const engine = deployment.findEngine(readEndpoint(now));
        if (now.ids.length === 10) {
          void deployment.setFaults(engine, {cutAfter: 1});
        }
        if (now.ids.length === 40) one.process.sendSignal('SIGKILL');
        return undefined;
      },
    );
    checkWholeAnswer(state);
    const runs = await deployment.countRuns(state.requestId);
    assert.deepEqual(runs, {
      starts: 1,
      continues: 0,
      attaches: 2,
      tokens: TOKENS,
    });
  });

  it('pass an answer on when one is frozen, and it stops once thawed', async () => {
    const [one, two] = [getHost(0), getHost(1)];
    const state = createCallerState();
    await streamOnce(one.places.caller, createAsk(), state, (now) => {
      if (now.ids.length !== 20) return false;
      one.process.sendSignal('SIGSTOP');
      // The caller's own patience ends.
      return true;
    });
    const rest = streamOnce(two.places.caller, createAsk(), state, (now) => {
      if (now.ids.length === 40) one.process.sendSignal('SIGCONT');
      return false;
    });
    await rest;
    checkWholeAnswer(state);
    const runs = await deployment.countRuns(state.requestId);
    assert.equal(runs.starts, 1);
    assert.equal(runs.tokens, TOKENS);
  });

  it('add nothing of their own to an answer that went on elsewhere', async () => {
    const [one, two] = [getHost(0), getHost(1)];
    const state = createCallerState();
    // Held open, as by a caller that does not learn of its host's pause.
    const held = streamOnce(one.places.caller, createAsk(), state, (now) => {
      if (now.ids.length === 20) one.process.sendSignal('SIGSTOP');
      return undefined;
    });
    await waitUntil('the host is frozen', () => state.ids.length >= 20);
    // Its engine makes tokens meanwhile that the host will find when it wakes.
    await sleep(200);
    const engine = deployment.findEngine(readEndpoint(state));
    engine.process.sendSignal('SIGKILL');
    await streamOnce(
      two.places.caller,
      createAsk(),
      state,
      (now) => now.ids.length === 30,
    );
    one.process.sendSignal('SIGCONT');
    await held;
    await waitUntil('the host serves again', async () => {
      const url = `http://${one.places.operator}/readyz`;
      return (await sendHttp(url)).status === 200;
    });
    await streamOnce(one.places.caller, createAsk(), state);
    checkWholeAnswer(state);
  });

  it('lose one together with the engine, and the text comes from the caller', async () => {
    const [one, two] = [getHost(0), getHost(1)];
    const state = await streamWhole(
      [one.places.caller, two.places.caller],
      createAsk(),
      (now) => {
        if (now.ids.length !== 20) return;
        one.process.sendSignal('SIGKILL');
        const engine = deployment.findEngine(readEndpoint(now));
        engine.process.sendSignal('SIGKILL');
      },
    );
    checkWholeAnswer(state);
  });

  it('leave without cutting an answer, and callers are sent elsewhere', async () => {
    const leaver = getHost(0);
    const other = getHost(1);
    let listed: readonly string[] = [];
    const state = await streamWhole(
      [leaver.places.caller],
      createAsk({maxTokens: 150}),
      (now) => {
        if (now.ids.length === 20) leaver.process.sendSignal('SIGTERM');
        if (now.ids.length === 100) {
          void getJson<AddressAnswer>(
            `http://${other.places.caller}/v1/addresses`,
          ).then((answer) => {
            listed = answer.addresses.map((a) => a.address);
          });
        }
      },
    );
    assert.equal(checkText(PROMPT, state.text, 150).tokens, 150);
    assert.ok(state.done);
    const exit = await leaver.process.exited;
    assert.equal(exit.code, 0);
    assert.ok(listed.length > 0);
    assert.ok(!listed.includes(leaver.places.caller));
  });

  it('end at once at a second signal, and say so at the first', async () => {
    const leaver = await deployment.addDaemon(['--log-level', 'info']);
    await deployment.publishHosts();
    await deployment.waitReady();
    const state = createCallerState();
    await streamOnce(
      leaver.places.caller,
      createAsk({maxTokens: 5000}),
      state,
      (now) => {
        if (now.ids.length === 20) leaver.process.sendSignal('SIGTERM');
        if (now.ids.length === 30) leaver.process.sendSignal('SIGTERM');
        return undefined;
      },
    );
    const exit = await leaver.process.exited;
    assert.equal(exit.code, 3);
    assert.match(leaver.process.log, /a second signal cuts/);
    assert.equal(state.done, false);
    // The caller goes on elsewhere from where it was cut.
    const before = state.ids.length;
    await streamOnce(
      getHost(1).places.caller,
      createAsk({maxTokens: 5000}),
      state,
      (now) => now.ids.length > before + 20,
    );
    const report = checkText(PROMPT, state.text, state.ids.length);
    assert.equal(report.mixed + report.repeated + report.missing, 0);
  });
});
