/** The records of answers that this host takes over. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom, SystemClock} from '@irisdock/kernel';
import {ok} from 'neverthrow';
import {
  RecordFinder,
  type RecordFinderParts,
  type StreamRequest,
} from '../src/answer/record_finder.js';
import {RequestLedger} from '../src/answer/request_ledger.js';
import type {
  GenerationRequest,
  RequestRecord,
} from '../src/answer/request_record.js';

const KEEP_MS = 1000;

function createFinder(): RecordFinder {
  const ledger = new RequestLedger<RequestRecord>(KEEP_MS, () => true);
  const parts = {
    ledger,
    ownership: {check: () => ok('take_over')},
    clock: new SystemClock(),
    random: new SeededRandom(1),
  };
  return new RecordFinder(parts as unknown as RecordFinderParts);
}

function createTakeover(modelVersion: string | undefined): StreamRequest {
  const request = {id: 'r', digest: 'd', spec: {modelVersion: 'iris-2'}};
  return {
    id: {origin: 'none'} as unknown as StreamRequest['id'],
    request: request as unknown as GenerationRequest,
    fromOffset: 5,
    resuming: true,
    resumeData: {
      request: 'r',
      generation: 1,
      endpoint: '127.0.0.1:1',
      digest: 'd',
      record: 'n',
      modelVersion,
    },
    receivedText: 'text',
  };
}

describe('an answer that is taken over', () => {
  it('stays at the model version that began it', () => {
    const record = createFinder().find(createTakeover('iris-1'));
    const {modelVersion} = record._unsafeUnwrap().request.spec;
    assert.equal(modelVersion, 'iris-1');
  });

  it('goes by the service if its resume data names no model version', () => {
    const record = createFinder().find(createTakeover(undefined));
    const {modelVersion} = record._unsafeUnwrap().request.spec;
    assert.equal(modelVersion, 'iris-2');
  });
});
