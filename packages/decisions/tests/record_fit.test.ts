/** A caller that moves between hosts never gets two texts in one answer. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom} from '@irisdock/kernel';
import {isOffsetFit, isRecordFit, type FitState} from '@irisdock/decisions';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

const HOSTS = 3;

/** An answer as one host keeps it; one letter is one token. */
interface Kept {
  readonly name: string;
  text: string;
}

/** The caller's connection to a host, and what becomes of it. */
interface Visit {
  readonly host: number;
  /** Tokens that are made while the caller is there. */
  readonly made: number;
  /** Those of them that reach the caller. */
  readonly passed: number;
  /** Whether the caller gets the new resume data. */
  readonly hasResume: boolean;
  /** Whether the caller sends its text along. */
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

/** Plays visits; gives the first at which two texts were mixed. */
function findMixed(
  visits: readonly Visit[],
  isFit: (state: FitState) => boolean,
): number | undefined {
  const random = new SeededRandom(7);
  const kept = new Map<number, Kept>();
  let text = '';
  let callerRecord: string | undefined;
  for (const [at, visit] of visits.entries()) {
    const found = kept.get(visit.host);
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
    kept.set(visit.host, record);
    for (let token = 0; token < visit.made; token++) {
      record.text += 'abcdefgh'[random.getInt(8)] ?? '';
    }
    // Resume data goes before the first token, so with a token it is there.
    const grown = record.text.slice(0, text.length + visit.passed);
    if (visit.hasResume || grown !== text) callerRecord = record.name;
    text = grown;
  }
  return undefined;
}

describe('isRecordFit', () => {
  it('lets no caller get two texts in one answer', () => {
    fc.assert(
      fc.property(VISITS, (visits) => {
        assert.equal(findMixed(visits, isRecordFit), undefined);
      }),
      {...RUN_OPTIONS, numRuns: 2000},
    );
  });

  it('is needed: the naive way mixes texts in some of the same plays', () => {
    const plays = fc.sample(VISITS, {...RUN_OPTIONS, numRuns: 500});
    const mixed = plays.filter((p) => findMixed(p, isOffsetFit) !== undefined);
    assert.ok(mixed.length > 50, `${mixed.length} of 500`);
  });

  const cases: readonly {
    name: string;
    change: Partial<FitState>;
    fits: boolean;
  }[] = [
    {
      name: 'a caller that has nothing yet',
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
      name: 'resume data of another record, though the text is the same',
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
    it(`${fits ? 'goes on with' : 'leaves'} the record for ${name}`, () => {
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
