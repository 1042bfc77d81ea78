/** Bad input gets a clear error with its remedy, and the daemon goes on. */
import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {
  createDeployment,
  NAMES,
  sendHttp,
  streamWhole,
  type Deployment,
  type HttpCall,
} from '@irisdock/testkit';

const TEAM = {'x-irisdock-team': NAMES.team};
const GOOD = {model: NAMES.service, prompt: 'a', max_tokens: 3};

interface BadInput {
  readonly name: string;
  readonly path?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
  readonly text?: string;
  readonly status: number;
  readonly kind: string;
}

const COMPLETIONS: readonly BadInput[] = [
  {name: 'no JSON', text: '{"model"', status: 400, kind: 'bad_json'},
  {name: 'a JSON list', body: [], status: 400, kind: 'bad_field'},
  {name: 'no prompt', body: {model: 'a'}, status: 400, kind: 'bad_field'},
  {
    name: 'two answers at once',
    body: {...GOOD, n: 2},
    status: 400,
    kind: 'bad_field',
  },
  {
    name: 'a token count below 1',
    body: {...GOOD, max_tokens: 0},
    status: 400,
    kind: 'bad_field',
  },
  {
    name: 'a token count over the limit',
    body: {...GOOD, max_tokens: 20_000},
    status: 400,
    kind: 'too_many_tokens',
  },
  {
    name: 'a body over the limit',
    body: {...GOOD, prompt: 'x'.repeat(5_000_000)},
    status: 413,
    kind: 'body_too_large',
  },
  {
    name: 'an unknown model',
    body: {...GOOD, model: 'nothing'},
    status: 404,
    kind: 'unknown_model',
  },
  {
    name: 'a plain service as a model',
    body: {...GOOD, model: NAMES.plain},
    status: 404,
    kind: 'unknown_model',
  },
  {
    name: 'a model named like an object member',
    body: {...GOOD, model: '__proto__'},
    status: 404,
    kind: 'unknown_model',
  },
  {
    name: 'an unknown adapter',
    body: {...GOOD, irisdock_adapter: 'nothing'},
    status: 404,
    kind: 'unknown_adapter',
  },
  {
    name: 'no team',
    headers: {'x-irisdock-team': ''},
    status: 400,
    kind: 'missing_team',
  },
  {
    name: 'an unknown team',
    headers: {'x-irisdock-team': 'nobody'},
    status: 403,
    kind: 'unknown_team',
  },
  {
    name: 'an offset that is no number',
    headers: {'last-event-id': 'abc'},
    status: 400,
    kind: 'bad_header',
  },
  {
    name: 'an offset out of range',
    headers: {'last-event-id': '999999999'},
    status: 400,
    kind: 'bad_header',
  },
  {
    name: 'a deadline out of range',
    headers: {'x-irisdock-deadline-ms': '-1'},
    status: 400,
    kind: 'bad_header',
  },
  {
    name: 'neither true nor false',
    headers: {'x-irisdock-repeatable': 'perhaps'},
    status: 400,
    kind: 'bad_header',
  },
  {
    name: 'an id with letters it must not have',
    headers: {'x-request-id': 'a b'},
    status: 400,
    kind: 'bad_header',
  },
  {
    name: 'a forged id',
    headers: {'x-request-id': 'i1~a~b~c~d~e'},
    status: 400,
    kind: 'forged_id',
  },
  {
    name: 'resume data that was not given out',
    headers: {'x-irisdock-resume': 'abc.def'},
    status: 400,
    kind: 'bad_resume_data',
  },
  {
    name: 'an offset without the text before it',
    headers: {'x-request-id': 'never-seen', 'last-event-id': '9'},
    status: 409,
    kind: 'resume_text_needed',
  },
  {name: 'an unknown path', path: '/v1/x', status: 404, kind: 'no_such_path'},
  {
    name: 'an unknown plain service',
    path: '/s/nothing/a',
    status: 404,
    kind: 'unknown_service',
  },
  {
    name: 'a generating service as a plain one',
    path: `/s/${NAMES.service}/a`,
    status: 404,
    kind: 'unknown_service',
  },
];

interface BadChange {
  readonly name: string;
  readonly path: string;
  readonly call?: HttpCall;
  readonly status: number;
  readonly kind: string;
}

const SPEC = JSON.stringify({spec: {}});
const CHANGES: readonly BadChange[] = [
  {
    name: 'an unknown kind',
    path: '/v1/resources/teem/a',
    call: {method: 'PUT', body: SPEC},
    status: 400,
    kind: 'unknown_kind',
  },
  {
    name: 'a name that cannot be',
    path: '/v1/resources/team/A%20b',
    call: {method: 'PUT', body: SPEC},
    status: 400,
    kind: 'bad_name',
  },
  {
    name: 'a spec with an unknown field',
    path: '/v1/resources/team/a',
    call: {method: 'PUT', body: '{"spec":{"wait":1}}'},
    status: 400,
    kind: 'bad_spec',
  },
  {
    name: 'a body with an unknown field',
    path: '/v1/resources/team/a',
    call: {method: 'PUT', body: '{"spec":{},"x":1}'},
    status: 400,
    kind: 'bad_field',
  },
  {
    name: 'a version that is no number',
    path: '/v1/resources/team/a',
    call: {method: 'PUT', body: SPEC, headers: {'if-match': '"x"'}},
    status: 400,
    kind: 'bad_header',
  },
  {
    name: 'a version that it is not at',
    path: `/v1/resources/team/${NAMES.team}`,
    call: {method: 'PUT', body: SPEC, headers: {'if-match': '0'}},
    status: 409,
    kind: 'version_conflict',
  },
  {
    name: 'a delete of what is not there',
    path: '/v1/resources/team/nobody',
    call: {method: 'DELETE'},
    status: 404,
    kind: 'no_such_resource',
  },
  {
    name: 'a reference to nothing',
    path: '/v1/resources/teamPriority/a',
    call: {
      method: 'PUT',
      body: '{"spec":{"team":"no","service":"no","priority":1}}',
    },
    status: 409,
    kind: 'missing_reference',
  },
  {
    name: 'an operation id that cannot be',
    path: '/v1/resources/team/a',
    call: {
      method: 'PUT',
      body: SPEC,
      headers: {'x-irisdock-operation-id': 'a/b'},
    },
    status: 400,
    kind: 'bad_header',
  },
  {
    name: 'a watch from no number',
    path: '/v1/watch?after=x',
    status: 400,
    kind: 'bad_header',
  },
];

describe('bad input', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await createDeployment({
      daemons: 1,
      engines: 1,
      plains: 1,
      engineArgs: ['--engine-step-ms', '10'],
      daemonArgs: ['--listen-max-body-ms', '400'],
    });
  });
  after(async () => {
    await deployment.stop();
  });

  for (const bad of COMPLETIONS) {
    it(`of a caller: ${bad.name}`, async () => {
      const {caller} = deployment.getDaemon(0).places;
      const path = bad.path ?? '/v1/completions';
      const answer = await sendHttp(`http://${caller}${path}`, {
        method: 'POST',
        headers: {...TEAM, ...bad.headers},
        body: bad.text ?? JSON.stringify(bad.body ?? GOOD),
      });
      assert.equal(answer.status, bad.status, answer.text);
      const {error} = JSON.parse(answer.text) as {
        error: {kind: string; remedy: string; outcome: string};
      };
      assert.equal(error.kind, bad.kind);
      assert.ok(error.remedy.length > 0);
      assert.equal(answer.headers['x-irisdock-outcome'], error.outcome);
    });
  }

  for (const bad of CHANGES) {
    it(`of an operator: ${bad.name}`, async () => {
      const {operator} = deployment.getDaemon(0).places;
      const url = `http://${operator}${bad.path}`;
      const answer = await sendHttp(url, bad.call ?? {});
      assert.equal(answer.status, bad.status, answer.text);
      assert.match(answer.text, new RegExp(`"kind":"${bad.kind}"`));
      assert.match(answer.text, /"remedy":"[^"]+/);
    });
  }

  it('by a caller whose connection is slow, half closed or cut', async () => {
    const {caller} = deployment.getDaemon(0).places;
    const [host, port] = caller.split(':');
    const head = `POST /v1/completions HTTP/1.1\r\nHost: t\r\nContent-Length: 90\r\n\r\n{`;
    const answers = await Promise.all(
      ['slow', 'half', 'cut'].map(
        (way) =>
          new Promise<string>((resolve) => {
            const socket = connect({host: host ?? '', port: Number(port)});
            let text = '';
            socket.on('data', (part) => (text += part.toString('utf8')));
            socket.on('close', () => {
              resolve(text);
            });
            socket.on('error', () => undefined);
            socket.write(head, () => {
              if (way === 'half') socket.end();
              if (way === 'cut') socket.destroy();
            });
          }),
      ),
    );
    assert.match(answers[0] ?? '', /408 [\s\S]*body_too_slow/);
    assert.match(answers[1] ?? '', /^(HTTP\/1.1 400 |$)/);
    assert.equal(answers[2], '');
  });

  it('leaves the daemon serving', async () => {
    const {caller} = deployment.getDaemon(0).places;
    const state = await streamWhole([caller], {
      model: NAMES.service,
      prompt: 'a',
      maxTokens: 5,
      team: NAMES.team,
    });
    assert.ok(state.done);
    assert.equal(deployment.getDaemon(0).process.isExited, false);
  });
});
