/**
 * Promises on endpoints with processes: a leaving one gets no new work, calls
 * that must not be repeated run once, orders follow what was declared.
 */
import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  createDeployment,
  getJson,
  NAMES,
  sendHttp,
  streamWhole,
  waitUntil,
  type AddressAnswer,
  type Deployment,
  type EndpointNode,
  type HttpAnswer,
} from '@irisdock/testkit';

describe('endpoints', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await createDeployment({
      daemons: 2,
      engines: 3,
      plains: 2,
      engineArgs: ['--engine-step-ms', '10'],
    });
  });
  after(async () => {
    await deployment.stop();
  });

  async function sendCall(
    headers: Record<string, string> = {},
    daemon = 0,
  ): Promise<HttpAnswer> {
    const {caller} = deployment.getDaemon(daemon).places;
    return sendHttp(`http://${caller}/s/${NAMES.plain}/orders/7?full=1`, {
      method: 'POST',
      headers: {'x-irisdock-team': NAMES.team, ...headers},
      body: '{"proof":true}',
    });
  }

  async function createId(daemon = 0): Promise<string> {
    const {caller} = deployment.getDaemon(daemon).places;
    const url = `http://${caller}/v1/addresses`;
    const {addresses} = await getJson<AddressAnswer>(url);
    const own = addresses.find((each) => each.address === caller);
    return own?.requestIds[0] ?? '';
  }

  async function countCalls(id: string): Promise<number> {
    let sum = 0;
    for (const {address} of deployment.plains) {
      const url = `http://${address}/control/runs`;
      const runs = await getJson<Record<string, number>>(url);
      sum += runs[id] ?? 0;
    }
    return sum;
  }

  it('answer a plain call through the system', async () => {
    const answer = await sendCall();
    assert.equal(answer.status, 200);
    assert.deepEqual(JSON.parse(answer.text), {
      path: 'orders/7',
      method: 'POST',
      body: '{"proof":true}',
    });
    assert.ok((answer.headers['x-request-id'] ?? '') !== '');
  });

  it('run a repeatable call again when its connection is cut', async () => {
    for (const plain of deployment.plains) {
      await deployment.setFaults(plain, {cutNext: 0});
    }
    const [first] = deployment.plains;
    assert.ok(first !== undefined);
    await deployment.setFaults(first, {cutNext: 1});
    const answers = await Promise.all(
      Array.from({length: 8}, () => sendCall()),
    );
    assert.ok(answers.every((answer) => answer.status === 200));
    await deployment.setFaults(first, {cutNext: 0});
  });

  it('run a call that is not repeatable once, and say what is unknown', async () => {
    for (const plain of deployment.plains) {
      await deployment.setFaults(plain, {cutNext: 1});
    }
    const id = await createId();
    const headers = {'x-request-id': id, 'x-irisdock-repeatable': 'false'};
    const cut = await sendCall(headers);
    assert.equal(cut.status, 502);
    assert.equal(cut.headers['x-irisdock-outcome'], 'unknown');
    const again = await sendCall(headers);
    assert.equal(again.status, 409);
    assert.match(again.text, /"kind":"already_sent"/);
    const elsewhere = await sendCall(headers, 1);
    assert.equal(elsewhere.status, 307);
    assert.equal(await countCalls(id), 1);
    for (const plain of deployment.plains) {
      await deployment.setFaults(plain, {cutNext: 0});
    }
  });

  it('are not called again under an id that was answered', async () => {
    const id = await createId();
    const headers = {'x-request-id': id, 'x-irisdock-repeatable': 'false'};
    assert.equal((await sendCall(headers)).status, 200);
    assert.equal((await sendCall(headers)).status, 409);
    assert.equal(await countCalls(id), 1);
  });

  it('that are killed get no calls, and none is lost', async () => {
    const doomed = await deployment.addEndpoint('plain');
    await deployment.publishHosts();
    await deployment.waitReady();
    const before = Array.from({length: 10}, () => sendCall());
    doomed.process.sendSignal('SIGKILL');
    const after = Array.from({length: 30}, () => sendCall());
    const answers = await Promise.all([...before, ...after]);
    // Those under way may be lost and repeated; all are answered.
    assert.ok(answers.every((answer) => answer.status === 200));
    deployment.endpoints.splice(deployment.endpoints.indexOf(doomed), 1);
    await deployment.publishHosts();
  });

  it('that are leaving get no new work and end what they have', async (context) => {
    const [leaver] = deployment.engines;
    assert.ok(leaver !== undefined);
    const long = Array.from({length: 9}, () =>
      streamWhole(deployment.listAddresses(), createAsk(300)),
    );
    await waitUntil('the engine has work', async () => {
      return (await countStarts(leaver)) > 0;
    });
    leaver.state = 'leaving';
    context.after(async () => {
      leaver.state = 'live';
      await deployment.publishHosts();
    });
    // The list contradicts itself: it names the engine again, as live.
    await deployment.publishHosts([{...leaver, state: 'live'}]);
    await waitUntil('all hosts know', async () => {
      const known = await Promise.all(
        deployment.daemons.map(async ({places}) => {
          const status = await sendHttp(`http://${places.operator}/v1/status`);
          return status.text.includes('"leaving":true');
        }),
      );
      return known.every(Boolean);
    });
    const starts = await countStarts(leaver);
    const more = Array.from({length: 20}, () =>
      streamWhole(deployment.listAddresses(), createAsk(5)),
    );
    for (const state of await Promise.all([...more, ...long])) {
      assert.ok(state.done, state.error);
    }
    assert.equal(await countStarts(leaver), starts);
    // A stream that pauses for long on a busy machine is taken elsewhere; no
    // other loss is allowed.
    assert.equal(
      await deployment.readMetric('irisdock_streams_losses_total'),
      await deployment.readMetric('irisdock_streams_false_alarms_total'),
    );
  });

  it('get the model versions and adapters that are declared', async () => {
    await deployment.declare([
      {
        kind: 'modelVersion',
        name: 'iris-2',
        spec: {model: 'iris', version: '2', weights: 'iris/2'},
      },
      {
        kind: 'adapter',
        name: 'school',
        spec: {modelVersion: 'iris-2', weights: 'school/1'},
      },
      {
        kind: 'service',
        name: NAMES.service,
        spec: {
          type: 'generation',
          modelVersion: 'iris-2',
          adapters: ['school'],
        },
      },
    ]);
    await waitUntil('all engines have them', async () => {
      const loads = await Promise.all(
        deployment.engines.map(({address}) =>
          getJson<{models: string[]; adapters: string[]}>(
            `http://${address}/v1/load`,
          ),
        ),
      );
      return loads.every(
        (load) =>
          load.models.includes('iris-2') && load.adapters.includes('school'),
      );
    });
    const ask = {...createAsk(5), extra: {irisdock_adapter: 'school'}};
    await waitUntil('the adapter is served', async () => {
      return (await streamWhole(deployment.listAddresses(), ask)).done;
    });
  });

  it('get orders from one host, whose successor has a higher fence', async () => {
    const holder = await findHolder();
    assert.ok(holder !== undefined);
    holder.process.sendSignal('SIGSTOP');
    const before = await findFence();
    await waitUntil('another host holds the lease', async () => {
      return (await findHolder(holder)) !== undefined;
    });
    const fresh = await deployment.addEndpoint('engine');
    await deployment.publishHosts();
    await waitUntil('the new engine has had its orders', async () => {
      return (await listFences(fresh)).length > 0;
    });
    const after = await listFences(fresh);
    assert.ok(after.every((fence) => fence > before));
    holder.process.sendSignal('SIGCONT');
    // It wakes believing nothing: its own clock ended its lease.
    await sleep(1500);
    const holders = await Promise.all(
      deployment.daemons.map((_, at) =>
        deployment.readMetric('irisdock_orders_holder', at),
      ),
    );
    assert.equal(holders.filter((held) => held === 1).length, 1);
  });

  function createAsk(maxTokens: number): Parameters<typeof streamWhole>[1] {
    const prompt = 'A caption. ';
    return {model: NAMES.service, prompt, maxTokens, team: NAMES.team};
  }

  async function countStarts(engine: EndpointNode): Promise<number> {
    const url = `http://${engine.address}/control/counts`;
    const counts = await getJson<Record<string, {starts: number}>>(url);
    return Object.values(counts).reduce((sum, c) => sum + c.starts, 0);
  }

  async function findHolder(
    except?: Deployment['daemons'][number],
  ): Promise<Deployment['daemons'][number] | undefined> {
    for (const [at, daemon] of deployment.daemons.entries()) {
      if (daemon === except) continue;
      const held = await deployment.readMetric('irisdock_orders_holder', at);
      if (held === 1) return daemon;
    }
    return undefined;
  }

  async function listFences(engine: EndpointNode): Promise<number[]> {
    const url = `http://${engine.address}/control/orders`;
    const orders = await getJson<{fence: number}[]>(url);
    return orders.map((order) => order.fence);
  }

  async function findFence(): Promise<number> {
    const all = await Promise.all(deployment.engines.map(listFences));
    return Math.max(...all.flat());
  }
});
