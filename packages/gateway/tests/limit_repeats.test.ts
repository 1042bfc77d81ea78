/** The repeater of limits, in virtual time. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {KnownLimits} from '../src/services/known_limits.js';
import {LimitRepeater} from '../src/services/limit_repeater.js';
import {SILENT_LOG} from './fixtures/silent_log.js';
import {VirtualClock} from './fixtures/virtual_clock.js';

describe('the repeater of limits', () => {
  // Guards against times of reports that are kept for good: a limit is told to
  // its issuer only after a silence of the issuer since it is known.
  it('forgets reports of limits that are not in force', async () => {
    const clock = new VirtualClock();
    const known = new KnownLimits(clock, SILENT_LOG);
    const told: string[] = [];
    const repeater = new LimitRepeater({
      known,
      clock,
      isIssuer: () => false,
      publisher: {sendAll: (ids) => told.push(...ids)},
    });
    known.acceptAdvertised('dropped', {kind: 'rate', perSecond: 3});
    repeater.recordIssuerReport('dropped');
    repeater.recordIssuerReport('unknown');
    known.drop('dropped');
    repeater.startHeartbeat();
    await clock.run(2000);
    known.acceptAdvertised('dropped', {kind: 'rate', perSecond: 3});
    known.acceptAdvertised('unknown', {kind: 'rate', perSecond: 3});
    repeater.startHeartbeat();
    assert.deepEqual(told, []);
    await clock.run(1500);
    repeater.startHeartbeat();
    assert.deepEqual(told, ['dropped', 'unknown']);
  });
});
