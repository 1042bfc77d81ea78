/**
 * Refused as not run means that it was not run: what the endpoints counted is
 * held against what each caller was told, under overload, while all engines
 * die, and on a host that leaves.
 */
import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import {
  createAsk,
  createCallerState,
  createDeployment,
  createIdOf,
  NAMES,
  streamOnce,
  TOKENS,
  waitUntil,
  type CallerState,
  type CompletionAsk,
  type Deployment,
} from '@irisdock/testkit';

const REQUESTS = 40;

/** Gives the kind of error that a caller was told; empty for none. */
function getKind(state: CallerState): string {
  return /"kind":"(\w+)"/.exec(state.error)?.[1] ?? '';
}

describe('what was refused as not run', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await createDeployment({
      daemons: 2,
      engines: 2,
      engineArgs: ['--engine-step-ms', '10', '--engine-slots', '2'],
      daemonArgs: ['--callers-keep-address-seconds', '0.2'],
    });
    const common = {type: 'generation', modelVersion: NAMES.model};
    await deployment.declare([
      {
        kind: 'service',
        name: NAMES.service,
        spec: {...common, maxQueue: 6, maxQueueMs: 400},
      },
      {kind: 'team', name: 'narrow', spec: {maxInFlight: 2}},
    ]);
  });
  after(async () => {
    await deployment.stop();
  });

  async function sendOne(change: Partial<CompletionAsk>): Promise<CallerState> {
    const host = deployment.getDaemon(0);
    const state = createCallerState();
    state.requestId = await createIdOf(host);
    await streamOnce(host.places.caller, createAsk(change), state);
    return state;
  }

  async function sendMany(
    change: Partial<CompletionAsk>,
  ): Promise<CallerState[]> {
    const sent = Array.from({length: REQUESTS}, (_, at) =>
      sendOne({repeatable: at % 2 === 0, ...change}),
    );
    return Promise.all(sent);
  }

  /** Holds what callers were told against what engines did. */
  async function checkCounts(states: readonly CallerState[]): Promise<void> {
    for (const state of states) {
      const runs = await deployment.countRuns(state.requestId);
      const orders = runs.starts + runs.continues + runs.attaches;
      if (state.error.includes('"outcome":"not-run"')) {
        assert.equal(orders, 0, `${getKind(state)}, yet it ran`);
        assert.ok(Number(state.retryAfter) >= 1, state.error);
      } else if (state.done) {
        assert.equal(runs.starts, 1);
        assert.equal(state.ids.length, TOKENS);
      }
    }
  }

  it('was not run under overload', async () => {
    const states = await sendMany({});
    await checkCounts(states);
    const kinds = new Set(states.map(getKind));
    assert.ok(kinds.has('queue_full'), [...kinds].join(' '));
    assert.ok(states.some((state) => state.done));
    assert.ok(states.every((state) => state.done || state.status >= 400));
  });

  it('was not run when its team was at its limit', async () => {
    const states = await sendMany({team: 'narrow'});
    await checkCounts(states);
    assert.ok(states.some((state) => getKind(state) === 'team_at_limit'));
  });

  it('runs once when it is sent again until it is served', async () => {
    const first = await sendMany({repeatable: false});
    const refused = first.filter((state) => !state.done);
    assert.ok(refused.length > 0);
    const [again] = refused;
    assert.ok(again !== undefined);
    const {caller} = deployment.getDaemon(0).places;
    await waitUntil('the refused request is served', async () => {
      await streamOnce(caller, createAsk({repeatable: false}), again);
      return again.done;
    });
    await checkCounts([again]);
  });

  it('was not run on a host that leaves', async () => {
    const host = await deployment.addDaemon();
    await deployment.publishHosts();
    await deployment.waitReady();
    const ids: string[] = [];
    for (let at = 0; at < 5; at++) ids.push(await createIdOf(host));
    const held = createCallerState();
    const asked: Promise<void>[] = [];
    const states = ids.map((id) => ({...createCallerState(), requestId: id}));
    await streamOnce(host.places.caller, createAsk(), held, (now) => {
      if (now.ids.length === 5) host.process.sendSignal('SIGTERM');
      if (now.ids.length < 20 || asked.length > 0) return undefined;
      for (const state of states) {
        const ask = createAsk({repeatable: false});
        asked.push(streamOnce(host.places.caller, ask, state));
      }
      return undefined;
    });
    await Promise.all(asked);
    assert.ok(held.done);
    await host.process.exited;
    deployment.daemons.pop();
    await checkCounts(states);
    for (const state of states) {
      assert.ok(state.done || state.status >= 400 || state.status === 0);
    }
  });

  it('was not run when all engines had died', async () => {
    for (const engine of deployment.engines) await engine.process.kill();
    const states = await sendMany({});
    for (const state of states) {
      assert.equal(state.done, false);
      assert.match(state.error, /"outcome":"not-run"/);
      assert.ok(Number(state.retryAfter) >= 1);
    }
  });
});
