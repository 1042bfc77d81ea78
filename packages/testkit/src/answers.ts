/** What tests of answers share: the request they send and the check of it. */
import assert from 'node:assert/strict';
import {checkText} from '@irisdock/standins';
import type {CallerState, CompletionAsk} from './caller.js';
import {NAMES} from './deployment_types.js';

/** The prompt of the answers that tests ask for. */
export const PROMPT = 'A memorial page for the year. '.repeat(12);
/** The tokens of such an answer. */
export const TOKENS = 60;

/** Creates a request for an answer. */
export function createAsk(change: Partial<CompletionAsk> = {}): CompletionAsk {
  return {
    model: NAMES.service,
    prompt: PROMPT,
    maxTokens: TOKENS,
    team: NAMES.team,
    ...change,
  };
}

/** Checks that each token came once and in order, and the end. */
export function checkWholeAnswer(state: CallerState, tokens = TOKENS): void {
  assert.equal(state.error, '');
  const report = checkText(PROMPT, state.text, tokens);
  assert.deepEqual(report, {tokens, missing: 0, repeated: 0, mixed: 0});
  assert.deepEqual(
    state.ids,
    Array.from({length: tokens}, (_, at) => at),
  );
  assert.ok(state.done);
}
