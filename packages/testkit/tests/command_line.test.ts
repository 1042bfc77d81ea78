/** The operators' command line against a running deployment. */
import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import {
  createDeployment,
  NAMES,
  runProcess,
  type Deployment,
} from '@irisdock/testkit';

const TEAM_FILE = 'kind: team\nname: press\nspec:\n  weight: 3\n';

interface Case {
  readonly name: string;
  readonly args: readonly string[];
  readonly input?: string;
  readonly code: number;
  readonly output?: RegExp;
  readonly error?: RegExp;
}

const LOG_LINE = JSON.stringify({
  context: {part: 'front', request: 'r1', logLevel: 30, outcome: 'lost'},
  message: 'front: A request ended.',
  time: 1000,
});

const CASES: readonly Case[] = [
  {
    name: 'explains a request from the logs',
    args: ['explain', 'r1'],
    input: `host-1 ${LOG_LINE}\n`,
    code: 0,
    output: /^0 +host-1 +front: A request ended\. +outcome=lost$/m,
  },
  {
    name: 'explains a content from the logs',
    args: ['explain', 'c1'],
    input: `host-1 ${LOG_LINE.replace('"outcome"', '"content":"c1","outcome"')}\n`,
    code: 0,
    output: /content=c1 outcome=lost$/m,
  },
  {
    name: 'removes one content at a time',
    args: ['crashes', 'remove'],
    code: 2,
    error: /give no words, or remove and a content/,
  },
  {
    name: 'says that no log line names a request',
    args: ['explain', 'r2'],
    input: `host-1 ${LOG_LINE}\n`,
    code: 1,
    error: /No log line names the request r2/,
  },
  {
    name: 'explains one request at a time',
    args: ['explain'],
    code: 2,
    error: /give one request id/,
  },
  {
    name: 'applies a file',
    args: ['apply', '-f', '-'],
    input: TEAM_FILE,
    code: 0,
    output: /^team\/press created$/m,
  },
  {
    name: 'leaves alone what is as declared',
    args: ['apply', '-f', '-'],
    input: TEAM_FILE,
    code: 0,
    output: /^team\/press unchanged$/m,
  },
  {
    name: 'says what a dry run would do',
    args: ['apply', '-f', '-', '--dry-run'],
    input: TEAM_FILE.replace('3', '4'),
    code: 0,
    output: /^team\/press changed \(dry run\)$/m,
  },
  {
    name: 'gets a resource as JSON',
    args: ['get', 'team', 'press', '-o', 'json'],
    code: 0,
    output: /"weight": 3/,
  },
  {
    name: 'lists a kind as a table',
    args: ['list', 'team'],
    code: 0,
    output: /^KIND +NAME +VERSION\nteam +atlas +\d+\nteam +press +\d+$/m,
  },
  {
    name: 'shows the status',
    args: ['status'],
    code: 0,
    output: /^host +\S+ +a +live +revision \d+$/m,
  },
  {
    name: 'shows the trail',
    args: ['audit', '--limit', '50'],
    code: 0,
    output: /tester +put +team\/press +0 +\d+$/m,
  },
  {
    name: 'watches changes from a revision on',
    args: ['watch', 'team', '--after', '0', '--count', '1'],
    code: 0,
    output: /put team\/atlas 0 -> \d+$/m,
  },
  {
    name: 'gives the place of a fault and sends nothing',
    args: ['apply', '-f', '-'],
    input: `${TEAM_FILE}---\nkind: team\nname: x\nspec: {weight: 0}\n`,
    code: 2,
    error: /^-:8:16: spec.weight: /m,
  },
  {
    name: 'refuses a delete at another version',
    args: ['delete', 'team', 'press', '--version', '1'],
    code: 4,
    error: /is at version \d+, not 1/,
  },
  {
    name: 'deletes',
    args: ['delete', 'team', 'press'],
    code: 0,
    output: /^team\/press deleted$/m,
  },
  {
    name: 'says that something is not there',
    args: ['get', 'team', 'press'],
    code: 1,
    error: /There is no team\/press/,
  },
  {
    name: 'is refused what others refer to',
    args: ['delete', 'modelVersion', NAMES.model],
    code: 1,
    error: /still referred to by service/,
  },
  {
    name: 'names the kinds',
    args: ['list', 'teams'],
    code: 2,
    error: /one of: service, modelVersion/,
  },
  {
    name: 'does not know a flag',
    args: ['list', 'team', '--colour'],
    code: 2,
    error: /--colour/,
  },
  {
    name: 'does not know a command',
    args: ['put'],
    code: 2,
    error: /There is no command put/,
  },
  {
    name: 'cannot read a file that is not there',
    args: ['apply', '-f', 'no-such-file.yaml'],
    code: 2,
    error: /cannot be read/,
  },
  {name: 'shows help', args: ['--help'], code: 0, output: /Exit codes:/},
  {
    name: 'shows help on a command',
    args: ['apply', '--help'],
    code: 0,
    output: /--dry-run/,
  },
];

describe('irisdock', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await createDeployment({daemons: 1, engines: 1});
  });
  after(async () => {
    await deployment.stop();
  });

  for (const {name, args, input, code, output, error} of CASES) {
    it(name, async () => {
      const {operator} = deployment.getDaemon(0).places;
      const common = args[0]?.startsWith('-')
        ? []
        : ['--server', operator, '--actor', 'tester'];
      const run = await runProcess('irisdock', [...args, ...common], input);
      assert.equal(run.code, code, run.stdout + run.stderr);
      if (output !== undefined) assert.match(run.stdout, output);
      if (error !== undefined) assert.match(run.stderr, error);
    });
  }

  it('tries the next server, and says when none answers', async () => {
    const {operator} = deployment.getDaemon(0).places;
    const dead = '127.0.0.1:1';
    const servers = `${dead},${operator}`;
    const next = await runProcess('irisdock', ['list', 'team', '-s', servers]);
    assert.equal(next.code, 0);
    const none = await runProcess('irisdock', ['list', 'team', '-s', dead]);
    assert.equal(none.code, 3);
    assert.match(none.stderr, /--server/);
  });
});
