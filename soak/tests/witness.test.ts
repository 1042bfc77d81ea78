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

/** What befell the endpoint of an attempt, and what hosts may do then. */
interface PlayedHarm {
  readonly harmedUntil?: number;
  readonly hasFewRetries?: boolean;
}

/** Gives the faults that an attempt with some runs and an end shows. */
function listFaults(
  attempt: Attempt,
  end: AttemptEnd,
  runs: readonly string[] = [],
  disturbances = new Disturbances(),
  play: PlayedHarm = {},
): readonly string[] {
  const {harmedUntil = -Infinity, hasFewRetries = false} = play;
  const witness = new Witness(disturbances, hasFewRetries);
  witness.recordAttempt(attempt);
  for (const attemptId of runs) {
    witness.recordRun(
      {id: 'i-1', leavingAt: undefined, harmedUntil},
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
    disturbances.start('store', performance.now());
    disturbances.start('endpoints', performance.now());
    assert.equal(listFaults(call, cut, [], disturbances).length, 1);
    assert.equal(listFaults(call, cut, ['a-1'], disturbances).length, 1);
    disturbances.start('callers', performance.now(), {host: 'host-1'});
    assert.equal(listFaults(call, cut, [], disturbances).length, 0);
  });

  it('sees a cut of a run by a planned stop that had time for it', () => {
    const stream = createAttempt('stream');
    const cut = createAnswer({body: formatEvents(1, 5), isWhole: false});
    const countFaults = (
      stopMs: number,
      runs: readonly string[],
      sentMs = 0,
    ): number => {
      const startedAt = performance.now() - sentMs;
      const attempt = {...stream, startedAt};
      const disturbances = new Disturbances();
      const options = {host: 'host-1', isPlanned: true};
      disturbances.start('hosts', performance.now() - stopMs, options);
      return listFaults(attempt, cut, runs, disturbances).length;
    };
    assert.equal(countFaults(3500, ['a-1'], 2000), 0);
    assert.equal(countFaults(3000, ['a-1'], 2000), 1);
    assert.equal(countFaults(3500, [], 2000), 1);
    // Sent after the stop began, and so late that it was to be refused.
    assert.equal(countFaults(3500, ['a-1']), 1);
  });

  it('sees a cut after a harm of another endpoint than its own', () => {
    const stream = createAttempt('stream');
    const cut = createAnswer({body: formatEvents(1, 5), isWhole: false});
    const disturbances = new Disturbances();
    disturbances.start('endpoints', performance.now());
    const now = performance.now();
    const faults = listFaults(stream, cut, ['a-1'], disturbances);
    assert.deepEqual(faults, [
      'a-1 (stream) was cut on host-1, which was left alone',
    ]);
    const own = {harmedUntil: now};
    assert.deepEqual(listFaults(stream, cut, ['a-1'], disturbances, own), []);
  });

  it('sees a cut of what another endpoint could have gone on with', () => {
    const harmedUntil = performance.now();
    const countFaults = (
      kind: RequestKind,
      runs: readonly string[],
      hasFewRetries = false,
    ): number => {
      const attempt = createAttempt(kind);
      const cut = createAnswer({body: formatEvents(1, 5), isWhole: false});
      const play = {harmedUntil, hasFewRetries};
      return listFaults(attempt, cut, runs, undefined, play).length;
    };
    assert.equal(countFaults('stream', ['a-1', 'a-1']), 1);
    assert.equal(countFaults('stream', ['a-1', 'a-1'], true), 0);
    assert.equal(countFaults('streamFew', ['a-1']), 1);
    assert.equal(countFaults('streamFew', ['a-1', 'a-1']), 0);
    assert.equal(countFaults('streamOnce', ['a-1']), 0);
  });

  it('sees a cut of a silent stream that the next endpoint failed', () => {
    const attempt = createAttempt('stream');
    const countFaults = (
      runs: readonly ('failed' | 'harmed' | 'sound')[],
      lastServer?: string,
    ): number => {
      const witness = new Witness(new Disturbances());
      witness.recordAttempt(attempt);
      witness.ends.streamFaults.start('endpoints', performance.now());
      for (const [index, kind] of runs.entries()) {
        const harmedUntil = kind === 'harmed' ? Infinity : -Infinity;
        const instance = {id: `i-${index}`, leavingAt: undefined, harmedUntil};
        const run = {attemptId: 'a-1', path: '/', body: BODY};
        witness.recordRun(instance, run, kind === 'failed');
      }
      const server = lastServer === undefined ? '' : `: server ${lastServer}\n`;
      const body = `${server}${formatEvents(1, 5)}`;
      witness.recordEnd(attempt, createAnswer({body, isWhole: false}));
      return witness.faults.length;
    };
    assert.equal(countFaults(['sound', 'failed'], 'i-0'), 1);
    assert.equal(countFaults(['sound', 'harmed'], 'i-0'), 1);
    assert.equal(countFaults(['harmed', 'sound', 'failed'], 'i-1'), 1);
    assert.equal(countFaults(['sound', 'failed']), 1);
    assert.equal(countFaults(['failed']), 0);
    assert.equal(countFaults(['harmed', 'failed'], 'i-0'), 0);
    assert.equal(countFaults(['sound', 'harmed'], 'i-1'), 0);
    // One that was frozen reads a request that was closed meanwhile.
    assert.equal(countFaults(['harmed', 'sound'], 'i-0'), 0);
  });

  it('sees a cut of a run that began after the harm was over', () => {
    const stream = createAttempt('stream');
    const cut = createAnswer({body: formatEvents(1, 5), isWhole: false});
    const disturbances = new Disturbances();
    disturbances.start('endpoints', performance.now());
    const harm = {harmedUntil: performance.now() - 2000};
    const faults = listFaults(stream, cut, ['a-1'], disturbances, harm);
    assert.equal(faults.length, 1);
  });

  it('sees a cut refusal, and a cut on a kept connection after a run', () => {
    const refusal = createAnswer({status: 404, isWhole: false});
    assert.equal(listFaults(createAttempt('brief'), refusal).length, 1);
    const cut: AttemptEnd = {kind: 'cut', wasSent: false};
    const call = createAttempt('repeatable');
    assert.equal(listFaults(call, cut).length, 0);
    assert.equal(listFaults(call, cut, ['a-1']).length, 1);
  });

  it('sees a request with two ends, and one without an end', () => {
    const witness = new Witness(new Disturbances());
    const call = createAttempt('repeatable');
    witness.recordAttempt(call);
    assert.deepEqual(witness.ends.listFaults(), ['a-1 has no end']);
    witness.recordEnd(call, createAnswer({}));
    assert.deepEqual(witness.ends.listFaults(), []);
    assert.deepEqual(witness.faults, []);
    witness.recordEnd(call, createAnswer({}));
    assert.deepEqual(witness.faults, [
      'a-1 has two ends, the second is answered',
    ]);
  });

  it('counts ends and runs by the kind of request', () => {
    const witness = new Witness(new Disturbances());
    const attempt = createAttempt('repeatable');
    witness.recordAttempt(attempt);
    witness.recordRun(
      {id: 'i-1', leavingAt: undefined, harmedUntil: -Infinity},
      {attemptId: 'a-1', path: '/', body: BODY},
    );
    witness.recordEnd(attempt, createAnswer({}));
    assert.deepEqual(Object.fromEntries(witness.ends.kinds), {
      repeatable: {answered: 1, refused: 0, failed: 0, cut: 0, ran: 1},
    });
  });
});
