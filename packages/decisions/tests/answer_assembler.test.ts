/** Each token exactly once; no two generations mixed; crossed tokens drop. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  AnswerAssembler,
  NaiveAssembler,
  type GenerationEnd,
  type Token,
  type AssemblyDecision,
} from '@irisdock/decisions';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

const REQUEST = 'r1';
const COUNT = 12;

type Item = {readonly token: Token} | {readonly end: GenerationEnd};

interface Assembler {
  acceptToken(token: Token): AssemblyDecision;
  acceptEnd(end: GenerationEnd): AssemblyDecision;
}

function createToken(offset: number, change: Partial<Token> = {}): Token {
  const text = `t${offset}`;
  return {request: REQUEST, generation: 1, offset, text, ...change};
}

function createEnd(change: Partial<GenerationEnd> = {}): GenerationEnd {
  const reason = 'length';
  return {request: REQUEST, generation: 1, count: COUNT, reason, ...change};
}

/** Feeds items until an end or a loss; gives what was passed on. */
function runItems(
  assembler: Assembler,
  items: readonly Item[],
): {text: string; ended: boolean; lost: boolean} {
  const texts: string[] = [];
  for (const item of items) {
    const verdict =
      'token' in item
        ? assembler.acceptToken(item.token)
        : assembler.acceptEnd(item.end);
    if (verdict.action === 'pass') texts.push(verdict.text);
    if (verdict.action === 'drop') continue;
    if (verdict.action === 'pass') continue;
    const ended = verdict.action === 'end';
    return {text: texts.join(' '), ended, lost: !ended};
  }
  return {text: texts.join(' '), ended: false, lost: false};
}

/** A generation's items with faults strewn in. */
const FAULTY_ITEMS = fc
  .array(
    fc.record({
      at: fc.nat(COUNT),
      fault: fc.constantFrom('repeat', 'skip', 'cross', 'stale', 'end'),
    }),
    {maxLength: 6},
  )
  .map((faults) => {
    const items: Item[] = [];
    for (let offset = 0; offset <= COUNT; offset++) {
      const here = faults.filter((f) => f.at === offset).map((f) => f.fault);
      const token = createToken(offset);
      const isLast = offset === COUNT;
      if (here.includes('stale')) {
        items.push({token: createToken(offset, {generation: 0, text: 'old'})});
      }
      if (here.includes('cross')) {
        items.push({token: createToken(offset, {request: 'r2', text: 'x'})});
      }
      if (here.includes('end')) items.push({end: createEnd({generation: 0})});
      if (isLast) items.push({end: createEnd()});
      else if (!here.includes('skip')) items.push({token});
      if (here.includes('repeat') && !isLast) items.push({token});
    }
    return items;
  });

const WHOLE = Array.from({length: COUNT}, (_, at) => `t${at}`).join(' ');

function isPrefix(text: string): boolean {
  return WHOLE.startsWith(text);
}

describe('AnswerAssembler', () => {
  const cases: readonly {
    name: string;
    items: readonly Item[];
    want: ReturnType<typeof runItems>;
  }[] = [
    {
      name: 'passes tokens in order',
      items: [{token: createToken(0)}, {token: createToken(1)}],
      want: {text: 't0 t1', ended: false, lost: false},
    },
    {
      name: 'drops a token of another request',
      items: [{token: createToken(0, {request: 'r2'})}],
      want: {text: '', ended: false, lost: false},
    },
    {
      name: 'loses the stream at a missing token',
      items: [{token: createToken(0)}, {token: createToken(2)}],
      want: {text: 't0', ended: false, lost: true},
    },
    {
      name: 'loses the stream at an end before the last token',
      items: [{token: createToken(0)}, {end: createEnd()}],
      want: {text: 't0', ended: false, lost: true},
    },
    {
      name: 'ends an answer without tokens',
      items: [{end: createEnd({count: 0})}],
      want: {text: '', ended: true, lost: false},
    },
  ];
  for (const {name, items, want} of cases) {
    it(name, () => {
      const assembler = new AnswerAssembler(REQUEST, 1, 0);
      assert.deepEqual(runItems(assembler, items), want);
    });
  }

  it('drops tokens after the end', () => {
    const assembler = new AnswerAssembler(REQUEST, 1, 0);
    assembler.acceptEnd(createEnd({count: 0}));
    const verdict = assembler.acceptToken(createToken(0));
    assert.deepEqual(verdict, {action: 'drop', reason: 'after_end'});
  });

  it('passes on only what is whole, whatever comes', () => {
    fc.assert(
      fc.property(FAULTY_ITEMS, (items) => {
        const result = runItems(new AnswerAssembler(REQUEST, 1, 0), items);
        assert.ok(isPrefix(result.text), result.text);
        if (result.ended) assert.equal(result.text, WHOLE);
      }),
      RUN_OPTIONS,
    );
  });

  it('goes on from a loss with the next generation, without a seam', () => {
    fc.assert(
      fc.property(FAULTY_ITEMS, fc.nat(COUNT), (items, cut) => {
        const assembler = new AnswerAssembler(REQUEST, 1, 0);
        const first = runItems(assembler, items.slice(0, cut));
        const from = assembler.nextOffset;
        assembler.setGeneration(2);
        const rest: Item[] = [];
        // The first generation's late tokens come between the second's.
        for (let offset = from; offset < COUNT; offset++) {
          rest.push({token: createToken(offset, {text: 'late'})});
          rest.push({token: createToken(offset, {generation: 2})});
        }
        rest.push({end: createEnd({generation: 2})});
        if (assembler.isComplete) return;
        const second = runItems(assembler, rest);
        assert.ok(second.ended);
        const text = [first.text, second.text].filter((t) => t !== '');
        assert.equal(text.join(' '), WHOLE);
      }),
      RUN_OPTIONS,
    );
  });

  it('differs from the naive way exactly where the naive way is wrong', () => {
    let naiveWrong = 0;
    fc.assert(
      fc.property(FAULTY_ITEMS, (items) => {
        const naive = runItems(new NaiveAssembler(), items);
        const ours = runItems(new AnswerAssembler(REQUEST, 1, 0), items);
        const naiveIsRight = naive.text === WHOLE && naive.ended;
        if (naiveIsRight) assert.deepEqual(ours, naive);
        else naiveWrong++;
      }),
      RUN_OPTIONS,
    );
    assert.ok(naiveWrong > 0, 'the faults must break the naive way');
  });
});
