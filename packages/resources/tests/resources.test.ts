/** Specs, references and configuration files, valid and not. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  checkDelete,
  checkKind,
  checkName,
  checkPut,
  checkSpec,
  parseConfigFile,
  type KindName,
  type Resource,
  type ResourceReader,
} from '@irisdock/resources';
import fc from 'fast-check';

const VALID: readonly {kind: KindName; spec: unknown}[] = [
  {kind: 'service', spec: {type: 'generation', modelVersion: 'm'}},
  {kind: 'service', spec: {type: 'plain', repeatable: false}},
  {kind: 'modelVersion', spec: {model: 'iris', version: '1', weights: 'w'}},
  {kind: 'adapter', spec: {modelVersion: 'm', weights: 'w'}},
  {kind: 'team', spec: {}},
  {kind: 'teamPriority', spec: {team: 't', service: 's', priority: -2}},
  {
    kind: 'placementRule',
    spec: {service: 's', effect: 'avoid', failureDomains: ['a']},
  },
];

const INVALID: readonly {kind: KindName; spec: unknown; detail: RegExp}[] = [
  {kind: 'service', spec: null, detail: /spec: /},
  {kind: 'service', spec: {type: 'other'}, detail: /type: /},
  {kind: 'service', spec: {type: 'generation'}, detail: /modelVersion: /},
  {kind: 'service', spec: {type: 'plain', callms: 3}, detail: /callms/},
  {kind: 'team', spec: {weight: 0}, detail: /weight: /},
  {kind: 'team', spec: {weight: '3'}, detail: /weight: /},
  {
    kind: 'teamPriority',
    spec: {team: 't', service: 's', priority: 9},
    detail: /priority: /,
  },
  {
    kind: 'placementRule',
    spec: {service: 's', effect: 'avoid', failureDomains: []},
    detail: /failureDomains: /,
  },
];

function createReader(resources: readonly Resource[]): ResourceReader {
  return {
    get: (kind, name) =>
      resources.find((r) => r.kind === kind && r.name === name),
    list: () => resources,
  };
}

const MODEL: Resource = {
  kind: 'modelVersion',
  name: 'm',
  version: 1,
  spec: {model: 'iris', version: '1', weights: 'w', replicas: 0},
};
const SERVICE: Resource = {
  kind: 'service',
  name: 's',
  version: 2,
  spec: {type: 'generation', modelVersion: 'm', adapters: []},
};

describe('checkSpec', () => {
  for (const {kind, spec} of VALID) {
    it(`takes ${kind} ${JSON.stringify(spec)}`, () => {
      assert.ok(checkSpec(kind, 'n', spec).isOk());
    });
  }
  for (const {kind, spec, detail} of INVALID) {
    it(`refuses ${kind} ${JSON.stringify(spec)}`, () => {
      const error = checkSpec(kind, 'n', spec)._unsafeUnwrapErr();
      assert.equal(error.kind, 'bad_spec');
      assert.match(error.message, detail);
    });
  }

  it('gives a spec back unchanged when it is checked again', () => {
    for (const {kind, spec} of VALID) {
      const once = checkSpec(kind, 'n', spec)._unsafeUnwrap();
      assert.deepEqual(checkSpec(kind, 'n', once)._unsafeUnwrap(), once);
    }
  });
});

describe('names and kinds', () => {
  const bad = ['', 'A', '-a', 'a/b', 'a b', 'x'.repeat(64), '../a'];
  for (const name of bad) {
    it(`refuses the name ${JSON.stringify(name)}`, () => {
      assert.equal(checkName(name)._unsafeUnwrapErr().kind, 'bad_name');
    });
  }

  it('names the kinds when one is unknown', () => {
    const error = checkKind('servise')._unsafeUnwrapErr();
    assert.match(error.remedy, /modelVersion/);
    assert.ok(checkKind('__proto__').isErr());
  });
});

describe('references', () => {
  it('must be there for a put', () => {
    const put = (resources: readonly Resource[]): boolean =>
      checkPut(createReader(resources), 'service', 's', SERVICE.spec).isOk();
    assert.equal(put([]), false);
    assert.equal(put([MODEL]), true);
  });

  it('keep what they name from being deleted', () => {
    const reader = createReader([MODEL, SERVICE]);
    const error = checkDelete(reader, 'modelVersion', 'm')._unsafeUnwrapErr();
    assert.match(error.message, /referred to by service\/s/);
    assert.ok(checkDelete(reader, 'service', 's').isOk());
  });
});

describe('parseConfigFile', () => {
  const team = 'kind: team\nname: t\nspec:\n  weight: ';
  const cases: readonly {name: string; text: string; faults: string[]}[] = [
    {name: 'a value out of range', text: `${team}0\n`, faults: ['4:11']},
    {
      name: 'faults of two documents at once',
      text: `${team}x\n---\nkind: teem\nname: t\nspec: {}\n`,
      faults: ['4:11', '6:7'],
    },
    {
      name: 'an unknown field',
      text: 'kind: team\nname: t\nspec:\n  wait: 1\n',
      faults: ['4:3'],
    },
    {name: 'text that is no YAML', text: 'kind: [a\n', faults: ['2:1']},
    {
      name: 'the same resource twice',
      text: `${team}1\n---\n${team}2\n`,
      faults: ['6:1'],
    },
    {name: 'a list instead of an object', text: '- a\n', faults: ['1:1']},
  ];
  for (const {name, text, faults} of cases) {
    it(`gives the place of ${name}`, () => {
      const found = parseConfigFile(text)._unsafeUnwrapErr();
      const places = found.map(({line, column}) => `${line}:${column}`);
      assert.deepEqual(places, faults);
    });
  }

  it('takes documents in YAML and JSON, with comments and empty ones', () => {
    const json = '{"kind": "team", "name": "u", "spec": {}}';
    const text = `# teams\n${team}3\n---\n${json}\n---\n`;
    const names = parseConfigFile(text)
      ._unsafeUnwrap()
      .map((declaration) => declaration.name);
    assert.deepEqual(names, ['t', 'u']);
  });

  it('never throws, whatever the file holds', () => {
    fc.assert(
      fc.property(fc.string(), (text) => {
        parseConfigFile(text);
      }),
      {seed: 20261202, numRuns: 300},
    );
  });
});
