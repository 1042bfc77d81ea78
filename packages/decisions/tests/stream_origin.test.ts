/** Tests of what hosts keep and conclude of the origins of streams. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  chooseOriginHolders,
  computeOriginIntervalMs,
  decideOriginService,
  decideOriginVersion,
  listMatchingOrigins,
  ORIGIN_HOLDERS,
  ORIGIN_RESPONDERS,
  OriginTable,
  type OriginEvidence,
  type OriginRecord,
} from '@irisdock/decisions';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

const KEPT_MS = 1000;

function createRecord(change: Partial<OriginRecord> = {}): OriginRecord {
  return {
    streamId: 'stream-1',
    content: 'content-1',
    service: 'engines',
    instanceId: 'i-1',
    version: 'v1',
    remainingMs: KEPT_MS,
    ...change,
  };
}

function listVersions(records: readonly OriginRecord[]): string[] {
  return records.map(({version}) => version);
}

describe('the table of origins', () => {
  it('finds a stream by its id, and until its time is over', () => {
    const table = new OriginTable();
    table.add(createRecord(), 0);
    const key = {streamId: 'stream-1', content: 'other'};
    assert.deepEqual(listVersions(table.list(key, KEPT_MS - 1)), ['v1']);
    assert.deepEqual(table.list(key, KEPT_MS), []);
    table.dropExpired(KEPT_MS);
    assert.equal(table.size, 0);
  });

  it('finds streams by content only if the id is not known', () => {
    const table = new OriginTable();
    table.add(createRecord(), 0);
    table.add(createRecord({streamId: 'stream-2', version: 'v2'}), 0);
    const content = 'content-1';
    const named = table.list({streamId: 'stream-2', content}, 1);
    assert.deepEqual(listVersions(named), ['v2']);
    const unnamed = table.list({streamId: undefined, content}, 1);
    assert.deepEqual(listVersions(unnamed), ['v1', 'v2']);
  });

  it('keeps both versions of contradicting reports', () => {
    const table = new OriginTable();
    table.add(createRecord(), 0);
    table.add(createRecord({version: 'v2'}), 0);
    table.add(createRecord(), 0);
    const records = table.list({streamId: 'stream-1', content: ''}, 1);
    assert.deepEqual(listVersions(records).sort(), ['v1', 'v2']);
  });

  // The last few records hid an earlier one of another version.
  it('shows each version among many streams of one content', () => {
    const table = new OriginTable();
    table.add(createRecord(), 0);
    for (let index = 2; index < 9; index++) {
      const streamId = `stream-${index}`;
      table.add(createRecord({streamId, version: 'v2'}), 0);
    }
    const key = {streamId: undefined, content: 'content-1'};
    const versions = listVersions(table.list(key, 1));
    assert.deepEqual([...new Set(versions)].sort(), ['v1', 'v2']);
  });

  // A host answers with a few records, which must not leave out this one.
  it('finds the stream of a caller among many of one content', () => {
    const table = new OriginTable();
    for (let index = 0; index < 9; index++) {
      const streamId = `stream-${index}`;
      const remainingMs = 20_000 + 3000 * index;
      table.add(createRecord({streamId, remainingMs}), 0);
    }
    const remainingMs = 20_000 + 3000 * 7 - 1500;
    const key = {streamId: undefined, content: 'content-1', remainingMs};
    const [found, ...others] = table.list(key, 1500);
    assert.equal(found?.streamId, 'stream-7');
    assert.deepEqual(others, []);
  });

  it('is bounded; the oldest stream is dropped first', () => {
    const table = new OriginTable(2);
    for (const streamId of ['a', 'b', 'c']) {
      table.add(createRecord({streamId}), 0);
    }
    assert.equal(table.size, 2);
    assert.deepEqual(table.list({streamId: 'a', content: ''}, 1), []);
    const content = 'content-1';
    const left = table.list({streamId: undefined, content}, 1);
    assert.deepEqual(
      left.map(({streamId}) => streamId),
      ['b', 'c'],
    );
  });
});

describe('the hosts that keep an origin', () => {
  const HOSTS = fc.uniqueArray(
    fc.record({
      name: fc.string({minLength: 1}),
      failureDomain: fc.constantFrom('a', 'b', 'c'),
    }),
    {minLength: 1, maxLength: 40, selector: ({name}) => name},
  );

  it('cover all failure domains, and are asked by any other host', () => {
    fc.assert(
      fc.property(HOSTS, fc.string(), (hosts, streamId) => {
        const kept = chooseOriginHolders(streamId, hosts, ORIGIN_HOLDERS);
        assert.equal(kept.length, Math.min(hosts.length, ORIGIN_HOLDERS));
        const domainOf = new Map(
          hosts.map(({name, failureDomain}) => [name, failureDomain]),
        );
        const covered = new Set(kept.map((name) => domainOf.get(name)));
        assert.equal(covered.size, new Set(domainOf.values()).size);
        const shuffled = [...hosts].reverse();
        const asked = chooseOriginHolders(
          streamId,
          shuffled,
          ORIGIN_RESPONDERS,
        );
        for (const name of kept) assert.ok(asked.includes(name));
      }),
      RUN_OPTIONS,
    );
  });

  it('are asked though the asking host misses or adds two hosts', () => {
    fc.assert(
      fc.property(
        HOSTS,
        fc.string(),
        fc.integer({min: 0, max: 39}),
        (hosts, streamId, at) => {
          const kept = chooseOriginHolders(streamId, hosts, ORIGIN_HOLDERS);
          const seen = hosts.filter(
            (_, index) => index !== at && index !== at + 1,
          );
          const asked = chooseOriginHolders(streamId, seen, ORIGIN_RESPONDERS);
          const reached = kept.filter((name) => asked.includes(name));
          const present = seen.filter(({name}) => kept.includes(name));
          assert.equal(reached.length > 0, present.length > 0);
        },
      ),
      RUN_OPTIONS,
    );
  });
});

/** Decides as the design says it, one source after the other. */
function decideNaively({
  recorded,
  stored,
  possible,
}: OriginEvidence): string | undefined {
  const known = new Set<string>();
  for (const version of recorded) known.add(version);
  for (const version of stored) known.add(version);
  if (known.size > 0) return known.size === 1 ? [...known][0] : undefined;
  if (possible === undefined) return undefined;
  return new Set(possible).size === 1 ? possible[0] : undefined;
}

describe('the version that began a stream', () => {
  const VERSIONS = fc.array(fc.constantFrom('v1', 'v1.1', 'v2'), {
    maxLength: 3,
  });
  const EVIDENCE = fc.record({
    recorded: VERSIONS,
    stored: VERSIONS,
    possible: fc.option(VERSIONS, {nil: undefined}),
  });

  it('is the recorded one, though others are possible', () => {
    const decision = decideOriginVersion({
      recorded: ['v1', 'v1'],
      stored: [],
      possible: ['v2'],
    });
    assert.deepEqual(decision, {version: 'v1', source: 'recorded'});
  });

  it('is the saved one if no live host recorded it', () => {
    const decision = decideOriginVersion({
      recorded: [],
      stored: ['v2'],
      possible: ['v1', 'v2'],
    });
    assert.deepEqual(decision, {version: 'v2', source: 'stored'});
  });

  it('is the only possible one if no host recorded or saved it', () => {
    const evidence = {recorded: [], stored: [], possible: ['v1', 'v1']};
    const decision = decideOriginVersion(evidence);
    assert.deepEqual(decision, {version: 'v1', source: 'only'});
  });

  it('is not known if the evidence contradicts itself', () => {
    const both = ['v1', 'v2'];
    const possible = ['v1'];
    for (const evidence of [
      {recorded: both, stored: ['v1'], possible},
      {recorded: ['v1'], stored: ['v2'], possible},
      {recorded: [], stored: both, possible},
    ]) {
      const decision = decideOriginVersion(evidence);
      assert.deepEqual(decision, {version: undefined, doubt: 'contradiction'});
    }
  });

  // A version whose endpoints have just left counted as never served.
  it('is not concluded from an unknown past', () => {
    const evidence = {recorded: [], stored: [], possible: undefined};
    const decision = decideOriginVersion(evidence);
    assert.deepEqual(decision, {version: undefined, doubt: 'past_unknown'});
  });

  it('is not concluded from several possible ones, or none', () => {
    for (const possible of [['v1', 'v2'], []]) {
      const evidence = {recorded: [], stored: [], possible};
      const decision = decideOriginVersion(evidence);
      assert.deepEqual(decision, {version: undefined, doubt: 'no_record'});
    }
  });

  it('is decided as by a naive reading of the evidence', () => {
    fc.assert(
      fc.property(EVIDENCE, (evidence) => {
        const {version} = decideOriginVersion(evidence);
        assert.equal(version, decideNaively(evidence));
      }),
      RUN_OPTIONS,
    );
  });

  it('never changes by further evidence, but may become unknown', () => {
    fc.assert(
      fc.property(EVIDENCE, fc.constantFrom('v1', 'v2'), (evidence, more) => {
        const {version} = decideOriginVersion(evidence);
        if (evidence.recorded.length === 0 || version === undefined) return;
        const stored = [...evidence.stored, more];
        const later = decideOriginVersion({...evidence, stored}).version;
        assert.equal(later, more === version ? version : undefined);
      }),
      RUN_OPTIONS,
    );
  });
});

describe('the records that tell of a stream', () => {
  // A later stream of the same content may have begun at another version.
  it('are not those of another attempt with its content', () => {
    const others = [createRecord({streamId: 'stream-2'})];
    const key = {streamId: 'stream-1', content: 'content-1'};
    assert.deepEqual(listMatchingOrigins(key, others), []);
  });

  it('are all of its caller with its content if no attempt is named', () => {
    const record = createRecord({remainingMs: 20_000});
    const later = createRecord({streamId: 'stream-2', remainingMs: 20_900});
    const other = createRecord({content: 'content-2', remainingMs: 20_000});
    const key = {
      streamId: undefined,
      content: 'content-1',
      remainingMs: 20_100,
    };
    const found = listMatchingOrigins(key, [record, later, other]);
    assert.deepEqual(found, [record, later]);
  });

  // The record of another caller's stream decided, as its own was lost.
  it('are not those of a caller with another deadline', () => {
    const others = [15_000, 18_900, 21_100].map((remainingMs) =>
      createRecord({remainingMs}),
    );
    const key = {
      streamId: undefined,
      content: 'content-1',
      remainingMs: 20_000,
    };
    assert.deepEqual(listMatchingOrigins(key, others), []);
  });

  it('are none if neither an attempt nor a deadline is named', () => {
    const key = {streamId: undefined, content: 'content-1'};
    assert.deepEqual(listMatchingOrigins(key, [createRecord()]), []);
  });
});

describe('the service that began a stream', () => {
  it('is the recorded one, or else the only possible one', () => {
    assert.equal(decideOriginService(['a', 'a'], ['a', 'b']), 'a');
    assert.equal(decideOriginService([], ['b']), 'b');
  });

  it('is not known if records contradict or several are possible', () => {
    assert.equal(decideOriginService(['a', 'b'], ['a']), undefined);
    assert.equal(decideOriginService([], ['a', 'b']), undefined);
    assert.equal(decideOriginService([], []), undefined);
  });
});

describe('the calls of all hosts for origins', () => {
  it('stay under 40 a second for any number of hosts', () => {
    for (const hosts of [1, 9, 60, 91, 350]) {
      const intervalMs = computeOriginIntervalMs(hosts);
      assert.ok((hosts * 1000) / intervalMs <= 40);
      assert.ok(intervalMs >= 250);
    }
  });
});
