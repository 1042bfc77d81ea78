/** Tests that a caller that moves between hosts gets one consistent text. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom} from '@irisdock/kernel';
import {isOffsetFit, isRecordFit, type FitState} from '@irisdock/decisions';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

const HOSTS = 3;

/** An answer recorded by a host; each letter is a token. */
interface AnswerRecord {
  readonly name: string;
  text: string;
}

/** A connection of the caller to a host. */
interface Visit {
  readonly host: number;
  /** Tokens generated during the connection. */
  readonly made: number;
  /** The number of them that reach the caller. */
  readonly passed: number;
  /** Whether the caller receives the new resume data. */
  readonly hasResume: boolean;
  /** Whether the caller sends the text that it has received. */
  readonly sendsText: boolean;
}

const VISITS = fc.array(
  fc.record({
    host: fc.nat({max: HOSTS - 1}),
    made: fc.nat({max: 4}),
    passed: fc.nat({max: 8}),
    hasResume: fc.boolean(),
    sendsText: fc.boolean(),
  }),
  {minLength: 1, maxLength: 12},
);

/** Simulates visits; returns the first at which two texts are mixed. */
function findMixed(
  visits: readonly Visit[],
  isFit: (state: FitState) => boolean,
): number | undefined {
  const random = new SeededRandom(7);
  const records = new Map<number, AnswerRecord>();
  let text = '';
  let callerRecord: string | undefined;
  for (const [at, visit] of visits.entries()) {
    const found = records.get(visit.host);
    const joins = found !== undefined && found.text.length >= text.length;
    const fits =
      joins &&
      isFit({
        fromOffset: text.length,
        callerRecord,
        receivedText: visit.sendsText ? text : undefined,
        ownRecord: found.name,
        ownText: found.text.slice(0, text.length),
      });
    const record = fits ? found : {name: `r${at}`, text};
    if (!record.text.startsWith(text)) return at;
    records.set(visit.host, record);
    for (let token = 0; token < visit.made; token++) {
      record.text += 'abcdefgh'[random.getInt(8)] ?? '';
    }
    // Resume data is sent before the first token, so a caller that received a
    // token has it.
    const grown = record.text.slice(0, text.length + visit.passed);
    if (visit.hasResume || grown !== text) callerRecord = record.name;
    text = grown;
  }
  return undefined;
}

describe('isRecordFit', () => {
  it('never mixes two texts in one answer', () => {
    fc.assert(
      fc.property(VISITS, (visits) => {
        assert.equal(findMixed(visits, isRecordFit), undefined);
      }),
      {...RUN_OPTIONS, numRuns: 2000},
    );
  });

  it('is needed: comparing offsets only mixes texts in some cases', () => {
    const runs = fc.sample(VISITS, {...RUN_OPTIONS, numRuns: 500});
    const mixed = runs.filter((r) => findMixed(r, isOffsetFit) !== undefined);
    assert.ok(mixed.length > 50, `${mixed.length} of 500`);
  });

  const cases: readonly {
    name: string;
    change: Partial<FitState>;
    fits: boolean;
  }[] = [
    {
      name: 'a caller that has received nothing',
      change: {fromOffset: 0},
      fits: true,
    },
    {name: 'resume data of this record', change: {}, fits: true},
    {
      name: 'resume data of another record',
      change: {callerRecord: 'other'},
      fits: false,
    },
    {
      name: 'resume data of another record with the same text',
      change: {callerRecord: 'other', receivedText: 'ab'},
      fits: false,
    },
    {
      name: 'another text without resume data',
      change: {callerRecord: undefined, receivedText: 'xy'},
      fits: false,
    },
    {
      name: 'the same text without resume data',
      change: {callerRecord: undefined, receivedText: 'ab'},
      fits: true,
    },
    {
      name: 'neither text nor resume data',
      change: {callerRecord: undefined},
      fits: true,
    },
  ];
  for (const {name, change, fits} of cases) {
    it(`${fits ? 'accepts' : 'rejects'} the record for ${name}`, () => {
      const state: FitState = {
        fromOffset: 2,
        callerRecord: 'own',
        receivedText: undefined,
        ownRecord: 'own',
        ownText: 'ab',
        ...change,
      };
      assert.equal(isRecordFit(state), fits);
    });
  }
});
