/** Datagrams between hosts: encoding and decoding, and malformed input. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {encode} from '@msgpack/msgpack';
import {TableReplica, type ReplicaRow} from '@irisdock/decisions';
import {
  createUpdateParts,
  decodePeerDatagram,
  encodePeerDatagram,
  decodePackedRows,
  type PeerDatagram,
  type MembershipDatagram,
} from '@irisdock/gateway';
import fc from 'fast-check';

const RUN_OPTIONS = {
  seed: Number(process.env['IRISDOCK_SEED'] ?? 20261202),
  numRuns: Number(process.env['IRISDOCK_RUNS'] ?? 200),
};
/** Larger datagrams may be fragmented or truncated on the way, in bytes. */
const MAX_DATAGRAM_BYTES = 1300;
const CAPACITY = {cores: 0.324, linkMbps: 7.5, memoryMb: 250};

const PLACE = {
  failureDomain: 'zone-a',
  datagrams: '10.1.0.40:7340',
  tables: '10.1.0.40:8229',
  callers: '10.1.0.40:8227',
};

const RECORD = {
  name: 'host-1',
  incarnation: 1_790_000_000_000,
  version: 3,
  state: 'ready',
  isStoreAway: false,
} as const;

function createMembership(
  change: Partial<MembershipDatagram['watch']>,
): MembershipDatagram {
  const record = RECORD;
  const place = PLACE;
  return {
    kind: 'watch',
    watch: {
      kind: 'probe',
      sender: record,
      place,
      asker: undefined,
      target: undefined,
      updates: [
        {record, isSuspected: true, place: undefined},
        {record, isSuspected: false, place},
      ],
      recordsHash: 4_000_000_000,
      ...change,
    },
    revisions: {configuration: 7, endpoints: 900, crashes: 3, versions: 2},
    sentAt: 12_345,
    reports: [
      {
        name: 'reader',
        incarnation: 5,
        sequence: 8,
        configurationRevision: 7,
        configurationAgeMs: 240,
        departureDelayMs: 60_000,
      },
    ],
  };
}

describe('the datagrams of hosts', () => {
  const datagrams: readonly PeerDatagram[] = [
    createMembership({}),
    createMembership({place: {...PLACE, capacity: CAPACITY}}),
    createMembership({sender: {...RECORD, isTaskExcluded: true}}),
    createMembership({kind: 'relay', target: 'host-2', place: undefined}),
    createMembership({kind: 'answer', asker: 'host-3', updates: []}),
    {
      kind: 'uses',
      name: 'host-1',
      incarnation: 5,
      sequence: 9,
      uses: {
        'i-1': {running: 1, unreadTokens: 8200, expectedTokens: 9000},
        'i-2': {running: 0, unreadTokens: 0, expectedTokens: 12},
      },
    },
    {kind: 'question', name: 'host-2', number: 4, instanceIds: ['i-1', 'i-2']},
    {
      kind: 'answer',
      number: 4,
      uses: [
        {
          instanceId: 'i-1',
          running: 2,
          unreadTokens: 10,
          expectedTokens: 20,
          failures: 0.5,
        },
      ],
    },
    {kind: 'loss', instanceId: 'i-1'},
    {
      kind: 'limits',
      name: 'host-1',
      limits: [
        {instanceId: 'i-1', perSecond: 3.4, ageMs: 12},
        {instanceId: 'i-2', perSecond: undefined, ageMs: 0},
      ],
    },
    {
      kind: 'lease-ask',
      content: 'a'.repeat(32),
      name: 'host-1',
      incarnation: 1_790_000_000_000,
      run: 3,
      number: 7,
      isRenewal: true,
    },
    {
      kind: 'lease-answer',
      number: 7,
      isGranted: true,
      waitMs: 25,
      instanceIds: ['i-1', 'i-2'],
    },
    {
      kind: 'lease-end',
      content: 'a'.repeat(32),
      name: 'host-1',
      incarnation: 1_790_000_000_000,
      run: 3,
    },
    {
      kind: 'origins',
      origins: [
        {
          streamId: 'stream-1',
          content: 'a'.repeat(32),
          service: 'engines',
          instanceId: 'i-1',
          version: 'v1.1',
          remainingMs: 24_000,
        },
      ],
    },
    {
      kind: 'origin-ask',
      name: 'host-1',
      number: 8,
      streamId: undefined,
      content: 'a'.repeat(32),
      remainingMs: 24_000,
    },
    {kind: 'origin-answer', number: 8, origins: []},
    {
      kind: 'permit-ask',
      name: 'host-1',
      incarnation: 1_790_000_000_000,
      number: 7,
      wanted: {begun: 1, usual: 4, aside: 0},
      refused: 2,
      limit: {instanceId: 'i-1', perSecond: 0.2, ageMs: 900},
    },
    {
      kind: 'permit-answer',
      number: 7,
      isIssuer: true,
      granted: {begun: 1, usual: 2, aside: 0},
      waitMs: 290,
      pauseMs: 250,
      lastReturnMs: 1400,
      limit: {instanceId: 'i-1', perSecond: 0.2, ageMs: 900},
    },
    {
      kind: 'demand',
      name: 'host-1',
      incarnation: 1_790_000_000_000,
      services: [
        {
          service: 'engines',
          inFlight: 3,
          expectedTokens: 12_240,
          promptTokens: 5_000_000,
          idleTokens: 40_000,
          idleMs: 8010,
        },
      ],
    },
    {
      kind: 'news',
      table: 'endpoints',
      after: 5,
      revision: 9,
      newest: 8,
      ageMs: 12,
      isScheduledPoll: false,
      source: '10.0.0.1:8029',
      isForGroup: true,
      packedRows: Uint8Array.from([1, 2, 3]),
    },
  ];
  for (const datagram of datagrams) {
    it(`are decoded as they were encoded: ${datagram.kind}`, () => {
      const bytes = encodePeerDatagram(datagram);
      assert.deepEqual(decodePeerDatagram(bytes)._unsafeUnwrap(), datagram);
    });
  }

  it('are refused with the field that is malformed', () => {
    const malformed: readonly [unknown, RegExp][] = [
      ['text', /not a tuple/],
      [['x'], /field 1/],
      [['w', 'probe', ['host', 'one']], /field 2 is not a number/],
      [['u', 'host', 1, 2, [['i-1', 1, 'many', 0]]], /field 3 is not a number/],
      [
        ['n', 'endpoints', 1, 2, 2, 0, true, 'h', true, 'rows'],
        /field 10 is not a byte array/,
      ],
      [['m', 'host', [['i-1', NaN, 5]]], /is not finite/],
      [['m', 'host', [['i-1', 3, Infinity]]], /is not finite/],
      [['o', [['s', 'c', 'engines', 'i-1', 'v1', NaN]]], /is not finite/],
      [['v', 'host', 1, [['s', 1, 0, Infinity, 0, 0]]], /not finite/],
      [['v', 'host', 1, [['s', -1, 0, 0, 0, 0]]], /is negative/],
    ];
    for (const [value, fault] of malformed) {
      const decoded = decodePeerDatagram(encode(value));
      assert.match(decoded._unsafeUnwrapErr(), fault);
    }
  });

  it('have no field for tasks unless a host is excluded from them', () => {
    const plain = createMembership({});
    const without = createMembership({
      sender: {...RECORD, isTaskExcluded: undefined},
    });
    assert.deepEqual(encodePeerDatagram(without), encodePeerDatagram(plain));
  });

  it('stay small when new hosts tell their capacity', () => {
    const {watch} = createMembership({});
    const record = {...watch.sender, name: 'front-some-region-a-12'};
    const place = {
      failureDomain: 'some-region-a',
      datagrams: '10.128.240.160:17340',
      tables: '10.128.240.160:18229',
      callers: '10.128.240.160:18227',
      capacity: {cores: 1.35, linkMbps: 140, memoryMb: 16_000},
    };
    const update = {record, isSuspected: false, place};
    // As many as the failure detector puts into a datagram.
    const updates = Array<typeof update>(6).fill(update);
    const full = createMembership({sender: record, place, updates});
    const bytes = encodePeerDatagram(full).length;
    assert.ok(bytes <= 1200, `${bytes}`);
  });

  it('never make the decoder throw, whatever arrives', () => {
    const bytes = fc.uint8Array({maxLength: 80});
    fc.assert(
      fc.property(bytes, (list) => {
        decodePeerDatagram(list);
      }),
      RUN_OPTIONS,
    );
  });
});

/** A change of a row; `step` is the increase of the revision. */
interface RowChange {
  readonly key: number;
  readonly step: number;
  readonly isDeleted: boolean;
  readonly size: number;
}

describe('updates of a table', () => {
  const changes = fc.array(
    fc.record({
      key: fc.integer({min: 1, max: 60}),
      step: fc.integer({min: 0, max: 2}),
      isDeleted: fc.boolean(),
      size: fc.integer({min: 0, max: 200}),
    }),
    {minLength: 1, maxLength: 60},
  );

  function createRows(list: readonly RowChange[]): ReplicaRow[] {
    let revision = 10;
    const rows = new Map<string, ReplicaRow>();
    for (const {key, step, isDeleted, size} of list) {
      revision += step;
      const name = `i-${key}`;
      const value = isDeleted ? undefined : `${revision}`.padEnd(size, 'abc');
      rows.delete(name);
      rows.set(name, {key: name, value, revision});
    }
    return [...rows.values()];
  }

  it('fit into datagrams and lead a replica to the same rows', () => {
    fc.assert(
      fc.property(changes, (list) => {
        const rows = createRows(list);
        const last = rows.at(-1)?.revision ?? 0;
        const parts = createUpdateParts(rows, 10, last) ?? [];
        const replica = new TableReplica();
        replica.applyAll([], 10);
        for (const part of parts) {
          const kind = 'news';
          const table = 'endpoints';
          const source = '10.128.240.160:18029';
          const freshness = {
            newest: last,
            ageMs: 0,
            isScheduledPoll: true,
            source,
          };
          const isForGroup = true;
          const update = {
            kind,
            table,
            ...freshness,
            ...part,
            isForGroup,
          } as const;
          assert.ok(encodePeerDatagram(update).length <= MAX_DATAGRAM_BYTES);
          assert.ok(part.after <= Math.max(10, replica.lastChange));
          const unpacked = decodePackedRows(part.packedRows)._unsafeUnwrap();
          replica.applyChanges(unpacked, part.revision);
        }
        assert.equal(replica.revision, Math.max(10, last));
        const expected = new TableReplica();
        expected.applyAll([], 10);
        expected.applyChanges(rows, last);
        assert.deepEqual(replica.listAll(), expected.listAll());
      }),
      RUN_OPTIONS,
    );
  });

  it('are not sent when a row is larger than a datagram', () => {
    let value = '';
    for (let at = 0; at < 900; at++) value += String((at * 7919) % 9973);
    const row = {key: 'a', value, revision: 11};
    assert.equal(createUpdateParts([row], 10, 11), undefined);
  });

  it('are refused when they cannot be unpacked', () => {
    assert.ok(decodePackedRows(Uint8Array.from([9, 9, 9])).isErr());
  });
});
