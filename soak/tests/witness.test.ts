/** The witness of the soak sees each promise broken, and none that is kept. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  Disturbances,
  Witness,
  type Attempt,
  type AttemptEnd,
  type RequestKind,
} from '@irisdock/soak';
import {formatCallBody} from '@irisdock/users-platform/fixtures';

const BODY = 'text';
const EVENTS = 60;

function createAttempt(kind: RequestKind, lastEventId = 0): Attempt {
  return {
    attemptId: 'a-1',
    kind,
    host: 'host-1',
    body: BODY,
    startedAt: performance.now(),
    lastEventId,
    resumes: lastEventId > 0 ? 'a-0' : undefined,
  };
}

function createAnswer(
  change: Partial<AttemptEnd & {readonly kind: 'answer'}>,
): AttemptEnd {
  return {
    kind: 'answer',
    status: 200,
    body: formatCallBody('a-1', BODY),
    isWhole: true,
    retryAfter: undefined,
    ...change,
  };
}

function formatEvents(from: number, until: number): string {
  let text = '';
  for (let id = from; id < until; id++) {
    text += `id: ${id}\ndata: ${BODY} ${id}\n\n`;
  }
  return text;
}

/** Gives the faults that an attempt with some runs and an end shows. */
function listFaults(
  attempt: Attempt,
  end: AttemptEnd,
  runs: readonly string[] = [],
  disturbances = new Disturbances(),
): readonly string[] {
  const witness = new Witness(disturbances);
  witness.recordAttempt(attempt);
  for (const attemptId of runs) {
    witness.recordRun(
      {id: 'i-1', leavingAt: undefined},
      {attemptId, path: '/', body: BODY},
    );
  }
  witness.recordEnd(attempt, end);
  witness.checkRefusals();
  return witness.faults;
}

describe('the witness of the soak', () => {
  it('finds nothing wrong with what is as promised', () => {
    const call = createAttempt('once');
    assert.deepEqual(listFaults(call, createAnswer({}), ['a-1']), []);
    const stream = createAttempt('stream', 4);
    const answer = createAnswer({body: formatEvents(5, EVENTS + 1)});
    assert.deepEqual(listFaults(stream, answer, ['a-1', 'a-1']), []);
  });

  it('sees a request run twice that may run once', () => {
    const faults = listFaults(createAttempt('once'), createAnswer({}), [
      'a-1',
      'a-1',
    ]);
    assert.deepEqual(faults, ['a-1 ran 2 times']);
  });

  it('sees a run that nobody asked for', () => {
    const call = createAttempt('repeatable');
    const faults = listFaults(call, createAnswer({}), ['a-2']);
    assert.deepEqual(faults, ['i-1 ran a-2 (/, "text"), which nobody sent']);
  });

  it('sees a refusal that is not true', () => {
    const refusal = createAnswer({status: 503, retryAfter: '0.1'});
    const faults = listFaults(createAttempt('once'), refusal, ['a-1']);
    assert.deepEqual(faults, ['a-1 got 503 and ran']);
  });

  it('sees a refusal that does not say when to come back', () => {
    const refusal = createAnswer({status: 503});
    const faults = listFaults(createAttempt('once'), refusal);
    assert.deepEqual(faults, ['a-1 was not told when to come back']);
  });

  it("sees another request's answer, and a cut one that looks whole", () => {
    const call = createAttempt('repeatable');
    for (const body of [formatCallBody('a-9', BODY), 'a-1 sa']) {
      assert.equal(listFaults(call, createAnswer({body})).length, 1);
    }
  });

  it('sees events that are missing, repeated, or of another stream', () => {
    const stream = createAttempt('stream');
    const missing = formatEvents(1, 5) + formatEvents(6, EVENTS + 1);
    const repeated = formatEvents(1, 5) + formatEvents(4, EVENTS + 1);
    const foreign = formatEvents(1, EVENTS + 1).replace('text 7', 'other 7');
    for (const body of [missing, repeated, foreign]) {
      assert.equal(listFaults(stream, createAnswer({body})).length, 1);
    }
  });

  it('sees a stream that looks whole before its end', () => {
    const stream = createAttempt('stream');
    const answer = createAnswer({body: formatEvents(1, EVENTS)});
    assert.deepEqual(listFaults(stream, answer), [
      `a-1 looks whole, next is ${EVENTS}`,
    ]);
  });

  it('sees a cut on a host that nothing befell but a planned stop', () => {
    const call = createAttempt('repeatable');
    const cut: AttemptEnd = {kind: 'cut', wasSent: true};
    const disturbances = new Disturbances();
    const options = {host: 'host-1', isPlanned: true};
    disturbances.start('hosts', performance.now(), options);
    assert.equal(listFaults(call, cut, [], disturbances).length, 1);
    disturbances.start('hosts', performance.now(), {host: 'host-2'});
    assert.equal(listFaults(call, cut, [], disturbances).length, 1);
    disturbances.start('endpoints', performance.now());
    assert.equal(listFaults(call, cut, [], disturbances).length, 0);
  });
});
