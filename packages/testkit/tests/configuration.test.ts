/**
 * Promise 8 with processes: what was accepted is in force everywhere in
 * seconds and never reverts, though the platform fails and operators race.
 */
import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import {createParser} from 'eventsource-parser';
import {request} from 'undici';
import {
  createDeployment,
  getJson,
  NAMES,
  sendHttp,
  waitUntil,
  type DaemonNode,
  type Deployment,
  type HttpAnswer,
} from '@irisdock/testkit';

interface Change {
  readonly revision: number;
  readonly toVersion: number;
  readonly operationId: string;
  readonly name: string;
  readonly action: string;
  readonly actor: string;
}

interface Status {
  readonly revision: number;
  readonly host: {readonly right: string};
  readonly hosts: readonly {hostId: string; revision?: number}[];
}

async function getStatus(daemon: DaemonNode): Promise<Status> {
  return getJson(`http://${daemon.places.operator}/v1/status`);
}

async function putTeam(
  daemon: DaemonNode,
  name: string,
  weight: number,
  headers: Record<string, string> = {},
): Promise<HttpAnswer> {
  const {operator} = daemon.places;
  return sendHttp(`http://${operator}/v1/resources/team/${name}`, {
    method: 'PUT',
    headers: {'x-irisdock-actor': 'tests', ...headers},
    body: JSON.stringify({spec: {weight}}),
  });
}

async function getWeight(daemon: DaemonNode, name: string): Promise<number> {
  const {operator} = daemon.places;
  const url = `http://${operator}/v1/resources/team/${name}`;
  const resource = await getJson<{spec?: {weight: number}}>(url);
  return resource.spec?.weight ?? 0;
}

/** Follows a watch until so many changes have come. */
async function watchChanges(
  daemon: DaemonNode,
  after: number,
  count: number,
): Promise<Change[]> {
  const {operator} = daemon.places;
  const url = `http://${operator}/v1/watch?after=${after}`;
  const answer = await request(url, {bodyTimeout: 0});
  const changes: Change[] = [];
  const parser = createParser({
    onEvent: ({data}) => {
      changes.push(JSON.parse(data) as Change);
    },
  });
  const decoder = new TextDecoder();
  for await (const part of answer.body as AsyncIterable<Buffer>) {
    parser.feed(decoder.decode(part, {stream: true}));
    if (changes.length >= count) break;
  }
  return changes;
}

describe('configuration', () => {
  let deployment: Deployment;
  let hosts: readonly DaemonNode[];

  before(async () => {
    deployment = await createDeployment({
      daemons: 3,
      engines: 1,
      daemonArgs: [
        ...['--membership-max-table-age-ms', '2500'],
        ...['--archive-keep-changes', '20', '--archive-round-ms', '200'],
      ],
    });
    hosts = deployment.daemons;
  });
  after(async () => {
    await deployment.stop();
  });

  function getHost(at: number): DaemonNode {
    return deployment.getDaemon(at);
  }

  async function waitInForce(name: string, weight: number): Promise<void> {
    await waitUntil(`${name} is in force everywhere`, async () => {
      const seen = await Promise.all(hosts.map((h) => getWeight(h, name)));
      return seen.every((each) => each === weight);
    });
  }

  it('accepted by one host comes into force on all', async () => {
    const answer = await putTeam(getHost(0), 'one', 3);
    assert.equal(answer.status, 200);
    await waitInForce('one', 3);
    const {revision} = JSON.parse(answer.text) as Change;
    await waitUntil('status shows the revision of each host', async () => {
      const status = await getStatus(getHost(1));
      return status.hosts.every((host) => (host.revision ?? 0) >= revision);
    });
  });

  it('is changed by one of the operators that race, and the rest are told', async () => {
    const first = await putTeam(getHost(0), 'raced', 1, {'if-match': '0'});
    const {toVersion} = JSON.parse(first.text) as Change;
    const expected = {'if-match': String(toVersion)};
    const answers = await Promise.all(
      Array.from({length: 9}, (_, at) =>
        putTeam(getHost(at % 3), 'raced', 10 + at, expected),
      ),
    );
    const accepted = answers.filter((answer) => answer.status === 200);
    const refused = answers.filter((answer) => answer.status === 409);
    assert.equal(accepted.length, 1);
    assert.equal(refused.length, 8);
    assert.match(refused[0]?.text ?? '', /"kind":"version_conflict"/);
    const winner = answers.findIndex((answer) => answer.status === 200);
    await waitInForce('raced', 10 + winner);
  });

  it('takes all changes of operators that race on other resources', async () => {
    const answers = await Promise.all(
      Array.from({length: 12}, (_, at) =>
        putTeam(getHost(at % 3), `many-${at}`, at + 1),
      ),
    );
    assert.ok(answers.every((answer) => answer.status === 200));
    const revisions = answers.map(
      (a) => (JSON.parse(a.text) as Change).revision,
    );
    assert.equal(new Set(revisions).size, 12);
  });

  it('is made once when the answer of the write is lost', async () => {
    await deployment.setPlatformFaults({loseAnswers: 1});
    const answer = await putTeam(getHost(0), 'lost', 5);
    assert.equal(answer.status, 200);
    const {operationId} = JSON.parse(answer.text) as Change;
    const changes = await listAudit();
    const made = changes.filter((c) => c.operationId === operationId);
    assert.equal(made.length, 1);
  });

  it('is made once when the operator sends it again to another host', async () => {
    const headers = {'x-irisdock-operation-id': 'operation-7'};
    const [one, two] = [
      await putTeam(getHost(0), 'twice', 6, headers),
      await putTeam(getHost(1), 'twice', 6, headers),
    ];
    assert.equal(one.status, 200);
    assert.deepEqual(JSON.parse(two.text), JSON.parse(one.text));
  });

  it('is not accepted while the platform is out, and serving goes on', async () => {
    await deployment.setPlatformFaults({outage: true});
    const asked = putTeam(getHost(0), 'one', 4);
    await waitUntil('the hosts see the outage', async () => {
      const status = await getStatus(getHost(1));
      return status.host.right === 'serve_in_outage';
    });
    assert.equal(await getWeight(getHost(0), 'one'), 3);
    const models = await sendHttp(
      `http://${getHost(1).places.caller}/v1/models`,
    );
    assert.equal(models.status, 200);
    const answer = await asked;
    assert.equal(answer.status, 503);
    assert.match(answer.text, /"kind":"(table_unavailable|change_unknown)"/);
    assert.ok(Number(answer.headers['retry-after']) >= 1);
  });

  it('reaches a host that starts while the platform is out, from its peers', async () => {
    // It learns its peers as they dial it; the list cannot be read either.
    const late = await deployment.addDaemon();
    const unready = await sendHttp(`http://${late.places.operator}/readyz`);
    assert.equal(unready.status, 503);
    await deployment.setPlatformFaults({outage: false});
    await deployment.publishHosts();
    await waitUntil('the late host has it in force', async () => {
      return (await getWeight(late, 'one')) === 3;
    });
    await waitUntil(
      'the change that was not accepted can be made',
      async () => {
        const answer = await putTeam(late, 'one', 8);
        return answer.status === 200;
      },
    );
    await waitInForce('one', 8);
  });

  it('is watched without a gap, also by a watch that resumes', async () => {
    const {revision} = await getStatus(getHost(0));
    const watched = watchChanges(getHost(1), revision, 6);
    for (let at = 0; at < 6; at++) await putTeam(getHost(at % 3), 'w', at + 1);
    const changes = await watched;
    const wanted = Array.from({length: 6}, (_, at) => revision + 1 + at);
    assert.deepEqual(
      changes.map((change) => change.revision),
      wanted,
    );
    const rest = await watchChanges(getHost(2), revision + 4, 2);
    assert.deepEqual(
      rest.map((change) => change.revision),
      wanted.slice(4),
    );
  });

  it('tells a watch that fell too far behind to list again', async () => {
    const late = await deployment.addDaemon();
    await deployment.publishHosts();
    await waitUntil('the late host is configured', async () => {
      return (await getStatus(late)).revision > 0;
    });
    const url = `http://${late.places.operator}/v1/watch?after=1`;
    const answer = await sendHttp(url);
    assert.equal(answer.status, 410);
    assert.match(answer.text, /"kind":"watch_too_old"/);
  });

  it('leaves a trail of who changed what', async () => {
    await putTeam(getHost(0), 'audited', 2, {'x-irisdock-actor': 'anna'});
    const {operator} = getHost(1).places;
    await sendHttp(`http://${operator}/v1/resources/team/audited`, {
      method: 'DELETE',
      headers: {'x-irisdock-actor': 'bo'},
    });
    const trail = (await listAudit()).filter((c) => c.name === 'audited');
    assert.deepEqual(
      trail.map(({actor, action}) => `${actor} ${action}`),
      ['anna put', 'bo delete'],
    );
  });

  it('moves old changes to the object store and still shows them', async () => {
    for (let at = 0; at < 130; at++) {
      await putTeam(getHost(at % 3), 'often', 1 + (at % 9));
    }
    await waitUntil('a batch is archived', async () => {
      const reached = await Promise.all(
        deployment.daemons.map((_, at) =>
          deployment.readMetric('irisdock_archive_revision', at),
        ),
      );
      return Math.max(...reached) >= 100;
    });
    const revisions = (await listAudit()).map((change) => change.revision);
    assert.deepEqual(
      revisions,
      revisions.map((_, at) => at + 1),
    );
    assert.ok(revisions.length > 130);
  });

  it('refuses what would break a reference', async () => {
    const {operator} = getHost(0).places;
    const url = `http://${operator}/v1/resources/modelVersion/${NAMES.model}`;
    const answer = await sendHttp(url, {method: 'DELETE'});
    assert.equal(answer.status, 409);
    assert.match(answer.text, /"kind":"still_referred_to"/);
  });

  it('makes a host that is cut off from all refuse new work', async () => {
    // All its peers freeze and the platform is out: it cannot know more.
    const [alone, ...others] = deployment.daemons;
    assert.ok(alone !== undefined);
    await deployment.setPlatformFaults({outage: true});
    for (const other of others) other.process.sendSignal('SIGSTOP');
    await waitUntil('the host refuses', async () => {
      const status = await getStatus(alone);
      return status.host.right === 'refuse_cut_off';
    });
    const answer = await sendHttp(
      `http://${alone.places.caller}/v1/completions`,
      {
        method: 'POST',
        headers: {'x-irisdock-team': NAMES.team},
        body: JSON.stringify({model: NAMES.service, prompt: 'a'}),
      },
    );
    assert.equal(answer.status, 503);
    assert.equal(answer.headers['x-irisdock-outcome'], 'not-run');
    assert.match(answer.text, /"kind":"cut_off"/);
    assert.ok(Number(answer.headers['retry-after']) >= 1);
    for (const other of others) other.process.sendSignal('SIGCONT');
    await deployment.setPlatformFaults({outage: false});
    await waitUntil('the host serves again', async () => {
      return (await getStatus(alone)).host.right === 'serve';
    });
  });

  async function listAudit(): Promise<readonly Change[]> {
    const {operator} = getHost(2).places;
    const url = `http://${operator}/v1/audit?limit=1000`;
    const page = await getJson<{changes: readonly Change[]}>(url);
    return page.changes;
  }
});
