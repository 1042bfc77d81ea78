/**
 * Promises on entry hosts with processes: an answer goes on elsewhere when
 * its host dies or freezes; what must not be repeated runs at most once.
 */
import assert from 'node:assert/strict';
import {after, before, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {checkText} from '@irisdock/standins';
import {
  createCallerState,
  createDeployment,
  getJson,
  NAMES,
  readEndpoint,
  streamOnce,
  streamWhole,
  waitUntil,
  type AddressAnswer,
  type CallerState,
  type CompletionAsk,
  type DaemonNode,
  type Deployment,
} from '@irisdock/testkit';

const TOKENS = 60;
const PROMPT = 'A memorial page for the year. '.repeat(12);

function createAsk(change: Partial<CompletionAsk> = {}): CompletionAsk {
  return {
    model: NAMES.service,
    prompt: PROMPT,
    maxTokens: TOKENS,
    team: NAMES.team,
    ...change,
  };
}

function checkWhole(state: CallerState): void {
  const report = checkText(PROMPT, state.text, TOKENS);
  const want = {tokens: TOKENS, missing: 0, repeated: 0, mixed: 0};
  assert.deepEqual(report, want);
  assert.ok(state.done);
}

describe('entry hosts', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await createDeployment({
      daemons: 3,
      engines: 3,
      engineArgs: ['--engine-step-ms', '10'],
      daemonArgs: ['--callers-keep-address-seconds', '0.2'],
    });
  });
  after(async () => {
    await deployment.stop();
  });
  beforeEach(async () => {
    const live = deployment.daemons.filter((d) => !d.process.isExited);
    deployment.daemons.splice(0, deployment.daemons.length, ...live);
    while (deployment.daemons.length < 3) await deployment.addDaemon();
    await deployment.addEnginesUntil(3);
  });

  function getHost(at: number): DaemonNode {
    return deployment.getDaemon(at);
  }

  async function createId(host: DaemonNode): Promise<string> {
    const url = `http://${host.places.caller}/v1/addresses?ids=1`;
    const answer = await getJson<AddressAnswer>(url);
    const own = answer.addresses.find((a) => a.address === host.places.caller);
    return own?.requestIds[0] ?? '';
  }

  async function waitDead(seenBy: DaemonNode, dead: DaemonNode): Promise<void> {
    await waitUntil('the host counts as dead', async () => {
      const url = `http://${seenBy.places.operator}/v1/status`;
      const status = await getJson<{
        hosts: readonly {callerAddress: string; state: string}[];
      }>(url);
      return status.hosts.some(
        (host) =>
          host.callerAddress === dead.places.caller && host.state === 'dead',
      );
    });
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
    checkWhole(state);
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
    checkWhole(state);
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
    checkWhole(state);
    const runs = await deployment.countRuns(state.requestId);
    assert.equal(runs.starts, 1);
    assert.equal(runs.tokens, TOKENS);
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
    checkWhole(state);
  });

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
    checkWhole(state);
    const runs = await deployment.countRuns(state.requestId);
    assert.equal(runs.starts, 1);
    assert.equal(runs.tokens, TOKENS);
  });

  it('start a request once, though it is sent many times at the same moment', async () => {
    const host = getHost(0);
    const requestId = await createId(host);
    const ask = createAsk({requestId, repeatable: false});
    const {caller} = host.places;
    const states = await Promise.all(
      Array.from({length: 6}, () => streamWhole([caller], ask)),
    );
    const whole = states.filter((state) => state.done);
    assert.ok(whole.length >= 1);
    for (const state of whole) checkWhole(state);
    for (const {text} of states) {
      const {repeated, mixed} = checkText(PROMPT, text, TOKENS);
      assert.equal(repeated + mixed, 0);
    }
    const runs = await deployment.countRuns(requestId);
    assert.equal(runs.starts, 1);
    assert.equal(runs.tokens, TOKENS);
  });

  it('give an ended answer again to a caller that lost its end', async () => {
    const {caller} = getHost(0).places;
    const state = await streamWhole([caller], createAsk());
    const again = createCallerState();
    again.requestId = state.requestId;
    await streamOnce(caller, createAsk(), again);
    checkWhole(again);
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
    checkWhole(state);
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
    const requestId = await createId(owner);
    const ask = createAsk({requestId, repeatable: false});
    const states = await Promise.all(
      deployment.listAddresses().map((address) => streamWhole([address], ask)),
    );
    const [first, ...others] = states;
    assert.ok(first !== undefined);
    checkWhole(first);
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
    const requestId = await createId(owner);
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
    checkWhole(again);
    const runs = await deployment.countRuns(requestId);
    assert.equal(runs.starts, 1);
  });

  it('run what a frozen owner held back no second time', async () => {
    const [owner, other] = [getHost(0), getHost(1)];
    const requestId = await createId(owner);
    const ask = createAsk({requestId, repeatable: false});
    owner.process.sendSignal('SIGSTOP');
    // The request waits in the frozen host's socket.
    const held = streamWhole([owner.places.caller], ask);
    await waitDead(other, owner);
    const refused = await streamWhole([other.places.caller], ask);
    assert.match(refused.error, /"kind":"outcome_unknown"/);
    owner.process.sendSignal('SIGCONT');
    checkWhole(await held);
    const runs = await deployment.countRuns(requestId);
    assert.equal(runs.starts, 1);
  });

  it('refuse an id of the caller for what is not repeatable', async () => {
    const ask = createAsk({requestId: 'my-own-id', repeatable: false});
    const state = await streamWhole([getHost(0).places.caller], ask);
    assert.equal(state.status, 400);
    assert.match(state.error, /"kind":"unbound_id"/);
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
