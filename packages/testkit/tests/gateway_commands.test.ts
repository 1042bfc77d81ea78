/** The commands of the operators' command line that ask a gateway. */
import assert from 'node:assert/strict';
import {createServer, type IncomingMessage} from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {runProcess} from '@irisdock/testkit';

/** Runs a body while a gateway's operators' address answers like this. */
async function runWithGateway(
  answer: (message: IncomingMessage) => object,
  body: (address: string) => Promise<void>,
): Promise<void> {
  const server = createServer((message, response) => {
    response.end(JSON.stringify(answer(message)));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  try {
    await body(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  } finally {
    server.close();
  }
}

describe('irisdock crashes', () => {
  it('lists contents, and takes one off the list', async () => {
    const asked: string[] = [];
    const answer = (message: IncomingMessage): object => {
      const actor = String(message.headers['x-irisdock-actor']);
      asked.push(`${message.method} ${message.url} ${actor}`);
      const content = {
        content: 'c1',
        verdict: 'refused',
        endpoints: ['i-1', 'i-2', 'i-3'],
        lastSecondsAgo: 7,
      };
      return message.method === 'GET' ? {contents: [content]} : content;
    };
    await runWithGateway(answer, async (address) => {
      const list = await runProcess('irisdock', ['crashes', '-s', address]);
      assert.match(list.stdout, /^c1 +refused +7 s ago +i-1 i-2 i-3$/m);
      const args = ['crashes', 'remove', 'c1', '-s', address, '--actor', 'ops'];
      const removed = await runProcess('irisdock', args);
      assert.match(removed.stdout, /^c1$/m);
      assert.equal(asked.at(-1), 'DELETE /v1/crashes/c1 ops');
    });
  });
});

describe('irisdock limits', () => {
  it('lists the limits in force', async () => {
    const limit = {
      endpoint: 'i-1',
      service: 'plain',
      address: '10.0.0.1:80',
      perSecond: 3.4,
      sinceSeconds: 12,
      source: 'host-2',
      issuer: null,
      given: 41,
      held: 7,
    };
    const answer = (): object => ({limits: [limit]});
    await runWithGateway(answer, async (address) => {
      const list = await runProcess('irisdock', ['limits', '-s', address]);
      const row = /^i-1 +plain +3\.4 +12 s ago +host-2 +- +41 +7$/m;
      assert.match(list.stdout, row);
      const bad = await runProcess('irisdock', ['limits', 'x', '-s', address]);
      assert.equal(bad.code, 2);
    });
  });
});

describe('irisdock tasks', () => {
  it('lists the tasks with their holders', async () => {
    const task = {
      task: 'usage',
      holder: 'host-1 7',
      fence: 12,
      ageSeconds: 1,
      isHolder: true,
      candidates: ['host-1', 'host-2'],
      windows: [],
      orders: [],
    };
    const answer = (): object => ({tasks: [task]});
    await runWithGateway(answer, async (address) => {
      const list = await runProcess('irisdock', ['tasks', '-s', address]);
      const row = /^usage +host-1 7 +12 +1 s ago +yes +host-1,host-2$/m;
      assert.match(list.stdout, row);
      assert.doesNotMatch(list.stdout, /WINDOW|SERVICE/);
    });
  });

  it('lists the last windows and the orders of the holder', async () => {
    const place = {holder: 'host-1 7', fence: 12, ageSeconds: 1};
    const shared = {...place, isHolder: true, candidates: []};
    const order = {service: 'drafting', failureDomain: 'north-a', count: 6};
    const usage = {
      ...shared,
      task: 'usage',
      windows: [{window: 71, result: 'late', endedSecondsAgo: 14}],
      orders: [],
    };
    const scaling = {
      ...shared,
      task: 'scaling',
      windows: [],
      orders: [
        {...order, kind: 'spot', isAccepted: true, acceptedSecondsAgo: 40},
        {...order, kind: 'spot', isAccepted: true, acceptedSecondsAgo: null},
        {...order, kind: 'spot', isAccepted: false, acceptedSecondsAgo: null},
      ],
    };
    const answer = (): object => ({tasks: [usage, scaling]});
    await runWithGateway(answer, async (address) => {
      const list = await runProcess('irisdock', ['tasks', '-s', address]);
      assert.match(list.stdout, /^71 +14 s ago +late$/m);
      for (const accepted of ['40 s ago', 'earlier', 'not yet']) {
        const row = `^drafting +north-a +spot +6 +${accepted}$`;
        assert.match(list.stdout, new RegExp(row, 'm'));
      }
    });
  });
});

describe('irisdock hosts', () => {
  it('lists the hosts as a gateway knows them', async () => {
    const host = {
      name: 'host-1',
      failureDomain: 'zone-a',
      standing: 'suspected',
      state: 'ready',
      isStoreAway: true,
      role: 'reader 0',
      configuration: 114,
      heardSecondsAgo: 3,
    };
    const hosts = [host, {...host, name: 'host-2', heardSecondsAgo: null}];
    const answer = (): object => {
      return {shownBy: 'host-2', version: 127, ageMs: 300, hosts};
    };
    await runWithGateway(answer, async (address) => {
      const list = await runProcess('irisdock', ['hosts', '-s', address]);
      const row =
        /^host-1 +zone-a +suspected +ready +away +reader 0 +114 +3 s ago$/m;
      assert.match(list.stdout, row);
      assert.match(list.stdout, /^host-2 .* 114 +-$/m);
      Object.assign(host, {
        region: 'north',
        capacity: {cores: 0.324, linkMbps: 0, memoryMb: 250},
      });
      const wide = await runProcess('irisdock', ['hosts', '-s', address]);
      assert.match(wide.stdout, /^host-1 .* 3 s ago +north +0\.324 +- +250$/m);
      const bad = await runProcess('irisdock', ['hosts', 'x', '-s', address]);
      assert.equal(bad.code, 2);
    });
  });
});

describe('irisdockd', () => {
  it('does not start with wrong settings, and names all faults', async () => {
    const run = await runProcess('irisdockd', [
      ...['--listen-callers', 'localhost:80', '--endpoints-poll-ms', '1'],
      ...['--platform-address', '127.0.0.1:1'],
    ]);
    assert.equal(run.code, 2);
    for (const flag of [
      '--listen-callers',
      '--endpoints-poll-ms',
      '--host-failure-domain',
      '--host-cluster-key',
    ]) {
      assert.match(run.stderr, new RegExp(flag));
    }
  });

  it('shows every setting with unit, default and variable', async () => {
    const run = await runProcess('irisdockd', ['--help']);
    assert.equal(run.code, 0);
    assert.match(run.stdout, /--endpoints-poll-ms <ms>/);
    assert.match(run.stdout, /IRISDOCK_ENDPOINTS_POLL_MS/);
  });
});
