/** Tests in which heartbeats a host asks its seeds. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeedSchedule} from '@irisdock/gateway';
import {SeededRandom} from '@irisdock/kernel';

function countAttempts(
  schedule: SeedSchedule,
  known: readonly string[],
  heartbeats: number,
): number {
  let count = 0;
  for (let heartbeat = 0; heartbeat < heartbeats; heartbeat++) {
    if (schedule.chooseNext(known) !== undefined) count++;
  }
  return count;
}

describe('the seed schedule', () => {
  it('asks a seed at once and keeps asking while no host is known', () => {
    const schedule = new SeedSchedule(new SeededRandom(1), ['s1', 's2']);
    assert.notEqual(schedule.chooseNext(['own']), undefined);
    assert.equal(countAttempts(schedule, ['own'], 100), 20);
  });

  it('asks less often while some hosts are known but a seed is not', () => {
    const schedule = new SeedSchedule(new SeededRandom(1), ['s1']);
    assert.equal(countAttempts(schedule, ['own', 'other'], 400), 9);
  });

  it('asks no known seed, and asks a new one at once', () => {
    const schedule = new SeedSchedule(new SeededRandom(1), ['s1']);
    assert.equal(countAttempts(schedule, ['own', 's1'], 200), 0);
    schedule.setSeeds(['s2']);
    assert.equal(schedule.chooseNext(['own', 's1']), 's2');
  });
});
