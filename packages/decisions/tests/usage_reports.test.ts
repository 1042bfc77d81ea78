/** Windows, totals and the order of usage reports. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  ClockFilter,
  HostTimes,
  MAX_FIRST_REPORT_AGE_MS,
  UsageCounts,
  UsageSchedule,
  UsageTotals,
  WHOLE_ANSWER,
  type HostUsageReport,
  type UsageCheckpoint,
  type WindowCount,
} from '@irisdock/decisions';

const TIMES = {windowMs: 5000, finalizeMs: 2000, delayMs: 10_000};
/** The time between two steps of the task, in ms. */
const CALL_STEP_MS = 100;

function createCounts(window: number, count: number): WindowCount[] {
  return [{window, team: 'first', count}];
}

describe('the time of usage reports', () => {
  // Requests would be assigned to the windows of another time.
  it('does not follow a step of the wall clock of half a minute', () => {
    const filter = new ClockFilter();
    for (let second = 0; second < 120; second++) {
      const stepMs = second >= 90 ? 2000 : 0;
      filter.addSample(1_000_000 + 1000 * second + stepMs, 1000 * second);
    }
    assert.equal(filter.getTime(0), 1_000_000);
  });

  // A holder whose clock is ahead would finalize before the counts arrive.
  it('is that of most hosts, also after a suspension of this one', () => {
    const times = new HostTimes();
    for (let second = 0; second < 60; second++) {
      const now = 1000 * second;
      // The reports of 3 s arrive at once when the suspension ends.
      const lateMs = second >= 40 && second < 43 ? 3000 : 0;
      for (const host of ['a', 'b']) times.accept(host, now - lateMs, now);
      times.addSample(now + 2000, now);
      assert.equal(times.getTime(now), now);
    }
    times.addSample(200_000, 200_000);
    assert.equal(times.getTime(200_000), 200_000);
  });

  // The requests of a host behind a slow link went to earlier windows.
  it('is not behind when the reports of all hosts are late for a while', () => {
    const times = new HostTimes();
    for (let second = 0; second < 60; second++) {
      const now = 1000 * second;
      const lateMs = second % 10 === 0 ? 0 : 200;
      for (const host of ['a', 'b']) times.accept(host, now - lateMs, now);
      times.addSample(now, now);
      assert.equal(times.getTime(now), now);
    }
  });
});

describe('the totals of all hosts', () => {
  it('count a repeated or overtaken report once', () => {
    const totals = new UsageTotals();
    for (const count of [2, 5, 3, 5]) {
      const counts = createCounts(7, count);
      totals.accept({host: 'a', incarnation: 1, counts});
    }
    totals.accept({host: 'a', incarnation: 2, counts: createCounts(7, 4)});
    totals.accept({host: 'b', incarnation: 1, counts: createCounts(7, 1)});
    assert.deepEqual(totals.computeTotals(7), {first: 10});
    assert.deepEqual(totals.computeTotals(8), {});
  });

  // Counts of lost hosts would be left out, or counts of live ones doubled.
  it('build on a checkpoint of an earlier holder', () => {
    const totals = new UsageTotals();
    const windows = {7: {first: 10, second: 3}};
    const reportedIds = ['50 a', '50 b'];
    totals.setCheckpoint({windows, lost: {}, lostIds: [], reportedIds});
    totals.accept({host: 'a', incarnation: 50, counts: createCounts(7, 4)});
    assert.deepEqual(totals.computeTotals(7), {first: 10, second: 3});
    totals.accept({host: 'b', incarnation: 50, counts: createCounts(7, 8)});
    totals.accept({host: 'b', incarnation: 150, counts: createCounts(7, 2)});
    assert.deepEqual(totals.computeTotals(7), {first: 14, second: 3});
    const later = new UsageTotals();
    later.setCheckpoint(totals.createCheckpoint(7));
    assert.deepEqual(later.computeTotals(7), {first: 14, second: 3});
  });

  // The growth of others took the place of what lost hosts had counted.
  it('keep the counts of lost hosts when those of others grow', () => {
    const reports = new Map<string, HostUsageReport>();
    const report = (host: string, incarnation: number, count: number): void => {
      const counts = createCounts(7, count);
      const id = `${incarnation} ${host}`;
      reports.set(id, {host, incarnation, counts, answerPart: WHOLE_ANSWER});
    };
    const startCollector = (checkpoint?: UsageCheckpoint): UsageTotals => {
      const totals = new UsageTotals();
      if (checkpoint !== undefined) totals.setCheckpoint(checkpoint);
      for (const one of reports.values()) totals.accept(one);
      return totals;
    };
    report('a', 1, 4);
    report('b', 1, 6);
    const first = startCollector().createCheckpoint(7);
    // All hosts start anew, and nobody knows their earlier reports.
    reports.clear();
    report('a', 110, 2);
    report('b', 110, 3);
    const second = startCollector(first).createCheckpoint(7);
    report('a', 110, 5);
    report('b', 110, 5);
    const third = startCollector(second);
    assert.deepEqual(third.computeTotals(7), {first: 20});
    // One host starts anew; its former counts are known to some only.
    report('a', 210, 1);
    for (const one of reports.values()) third.accept(one);
    const fourth = third.createCheckpoint(7);
    assert.deepEqual(startCollector(fourth).computeTotals(7), {first: 21});
    reports.delete('110 a');
    report('b', 110, 9);
    assert.deepEqual(startCollector(fourth).computeTotals(7), {first: 25});
  });

  // What a host reports later would be added to what it had reported.
  it('count no host twice that reports late to a new holder', () => {
    const totals = new UsageTotals();
    const windows = {7: {first: 10}};
    const reportedIds = ['1 a'];
    totals.setCheckpoint({windows, lost: {}, lostIds: [], reportedIds});
    assert.deepEqual(totals.computeTotals(7), {first: 10});
    totals.accept({host: 'a', incarnation: 1, counts: createCounts(7, 10)});
    assert.deepEqual(totals.computeTotals(7), {first: 10});
    totals.markSettled(7);
    assert.deepEqual(totals.computeTotals(7), {first: 10});
  });

  // Counts in neither part went to the lost hosts, and were added once more.
  it('take only all parts of one answer for an answer', () => {
    const cases = [
      {
        parts: [
          [1, 0],
          [2, 1],
        ],
        isAnswered: false,
      },
      {
        parts: [
          [1, 0],
          [1, 0],
        ],
        isAnswered: false,
      },
      {
        parts: [
          [1, 1],
          [2, 0],
          [1, 0],
        ],
        isAnswered: true,
      },
    ];
    for (const {parts, isAnswered} of cases) {
      const totals = new UsageTotals();
      const windows = {7: {first: 10}};
      const reportedIds = ['1 a'];
      totals.setCheckpoint({windows, lost: {}, lostIds: [], reportedIds});
      const report = {host: 'a', incarnation: 1, counts: createCounts(7, 4)};
      for (const [answer = 0, index = 0] of parts) {
        totals.accept({...report, answerPart: {answer, index, count: 2}});
      }
      const {lost} = totals.createCheckpoint(7);
      assert.deepEqual(lost, isAnswered ? {7: {first: 6}} : {});
    }
  });
});

describe('the counts of a host', () => {
  // Otherwise one lost datagram would leave the last requests out.
  it('are sent after each change and twice after the window', () => {
    const counts = new UsageCounts();
    counts.add(7, 'first');
    counts.add(7, 'first');
    assert.deepEqual(counts.takeDue(), createCounts(7, 2));
    assert.deepEqual(counts.takeDue(), []);
    counts.markEnded(7);
    assert.deepEqual(counts.takeDue(), createCounts(7, 2));
    assert.deepEqual(counts.takeDue(), createCounts(7, 2));
    assert.deepEqual(counts.takeDue(), []);
    // A long call is counted after the end of its window.
    counts.add(7, 'first');
    assert.deepEqual(counts.takeDue(), createCounts(7, 3));
    assert.deepEqual(counts.takeDue(), createCounts(7, 3));
    assert.deepEqual(counts.takeDue(), []);
  });
});

describe('the schedule of usage reports', () => {
  it('finalizes windows in order and skips those that are too old', () => {
    const schedule = new UsageSchedule(TIMES, 10);
    assert.equal(schedule.decideWindow(56_999), undefined);
    const window = 10;
    assert.deepEqual(schedule.decideWindow(57_000), {kind: 'finalize', window});
    const now = 55_001 + MAX_FIRST_REPORT_AGE_MS;
    assert.deepEqual(schedule.decideWindow(now), {kind: 'skip', window});
    assert.equal(schedule.applySkip(now), 1);
    assert.equal(schedule.decideWindow(now)?.kind, 'finalize');
  });

  // After an outage, a late report would make the next ones late too.
  it('sends reports that are still in time first, and pauses', () => {
    const schedule = new UsageSchedule(TIMES, 0);
    for (const window of [0, 1, 2]) {
      schedule.addFinal(window, {window, counts: {}});
    }
    assert.equal(schedule.nextWindow, 3);
    const now = 18_000;
    assert.equal(schedule.chooseReport(now)?.window, 1);
    schedule.recordFailure(now);
    assert.equal(schedule.chooseReport(now + 249), undefined);
    assert.equal(schedule.chooseReport(now + 250)?.window, 1);
    schedule.recordSent(1);
    schedule.recordSent(2);
    assert.equal(schedule.chooseReport(now)?.window, 0);
  });

  // Pauses that had grown to 2 s left out the last second before the due time.
  it('sends a report in time if the API is back a second before', () => {
    const dueAt = 15_000;
    for (let outageMs = 7000; outageMs <= 60_000; outageMs += 170) {
      const from = dueAt - 1000 - outageMs;
      const {sentAt} = runSchedule(from, dueAt - 1000, dueAt + 5000);
      const at = sentAt.get(0) ?? Infinity;
      assert.ok(at <= dueAt - 200, `outage of ${outageMs} ms: sent at ${at}`);
    }
  });

  // Each call costs about as much as a plain call is worth.
  it('makes few calls in a long outage', () => {
    const minutes = 5;
    const {calls} = runSchedule(0, minutes * 60_000, minutes * 60_000);
    assert.ok(calls <= minutes * 60, `${calls} calls`);
  });
});

/** Runs a schedule against an API that rejects calls for some time. */
function runSchedule(
  rejectsFrom: number,
  rejectsUntil: number,
  until: number,
): {sentAt: Map<number, number>; calls: number} {
  const first = Math.floor(rejectsFrom / TIMES.windowMs) - 3;
  const schedule = new UsageSchedule(TIMES, first);
  const sentAt = new Map<number, number>();
  let calls = 0;
  for (let now = rejectsFrom - 10_000; now < until; now += CALL_STEP_MS) {
    const step = schedule.decideWindow(now);
    if (step !== undefined) {
      schedule.addFinal(step.window, {window: step.window, counts: {}});
    }
    const report = schedule.chooseReport(now);
    if (report === undefined) continue;
    calls++;
    if (now >= rejectsFrom && now < rejectsUntil) {
      schedule.recordFailure(now);
      continue;
    }
    schedule.recordSent(report.window);
    sentAt.set(report.window, now);
  }
  return {sentAt, calls};
}
