/** Every request submitted to admission is answered: admitted or refused. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {AdmissionRequest} from '../src/services/admission.js';
import {createAdmission} from './fixtures.js';

function createEntry(change: Partial<AdmissionRequest> = {}): AdmissionRequest {
  return {
    id: 'a',
    service: 's',
    team: 't',
    weight: 1,
    cost: 1,
    maxQueue: 1,
    maxQueueMs: 60_000,
    maxInFlight: 0,
    signal: new AbortController().signal,
    chooseEndpoint: () => undefined,
    ...change,
  };
}

describe('Admission', () => {
  it('refuses a queued request when its caller disconnects', async () => {
    const admission = createAdmission();
    const controller = new AbortController();
    const {signal} = controller;
    const answer = admission.submit(createEntry({signal}));
    assert.equal(admission.countWaiting('s'), 1);
    controller.abort();
    assert.equal((await answer)._unsafeUnwrapErr().kind, 'caller_left');
    assert.equal(admission.countWaiting('s'), 0);
  });

  it('refuses a request whose caller has already disconnected', async () => {
    const entry = createEntry({signal: AbortSignal.abort()});
    const answer = await createAdmission().submit(entry);
    assert.equal(answer._unsafeUnwrapErr().kind, 'caller_left');
  });

  it('refuses a queued request at its deadline', async () => {
    const admission = createAdmission();
    const answer = await admission.submit(createEntry({maxQueueMs: 30}));
    const error = answer._unsafeUnwrapErr();
    assert.equal(error.kind, 'waited_too_long');
    assert.equal(error.outcome, 'not-run');
    assert.ok((error.retryAfterSeconds ?? 0) >= 1);
  });

  it('refuses requests when the queue is full or the host is leaving', async () => {
    const admission = createAdmission();
    const controller = new AbortController();
    const {signal} = controller;
    const first = admission.submit(createEntry({signal}));
    const second = await admission.submit(createEntry({id: 'b'}));
    assert.equal(second._unsafeUnwrapErr().kind, 'queue_full');
    admission.startLeaving();
    const third = await admission.submit(createEntry({id: 'c'}));
    assert.equal(third._unsafeUnwrapErr().kind, 'leaving');
    controller.abort();
    await first;
  });
});
