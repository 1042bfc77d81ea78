/** Origins of streams while hosts are replaced one after the other. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createLongOrigin, ReplacedFleet} from './fixtures/replaced_fleet.js';

const HOSTS = 9;
const DOMAINS = ['zone-a', 'zone-b', 'zone-c'];
const STREAMS = 40;
/** Time in which a report has been sent again, in ms. */
const REPORTED_MS = 600;
const RUNNER = 'host-0';
const ASKING = 'host-1';

const STREAM_IDS = Array.from({length: STREAMS}, (_, i) => `stream-${i}`);

async function createFleet(): Promise<ReplacedFleet> {
  const fleet = new ReplacedFleet(HOSTS, DOMAINS);
  const client = fleet.getClient(RUNNER);
  for (const id of STREAM_IDS) client.publish(createLongOrigin(id));
  await fleet.run(REPORTED_MS);
  return fleet;
}

async function countKnown(fleet: ReplacedFleet): Promise<number> {
  let known = 0;
  for (const id of STREAM_IDS) {
    if (await fleet.hasOrigin(ASKING, id)) known++;
  }
  return known;
}

/** Counts the origins that are known after all hosts were replaced in turn. */
async function countAfterReplacement(
  intervalMs: number,
  isRunnerFirst: boolean,
): Promise<number> {
  const fleet = await createFleet();
  const others = fleet.names.filter((name) => name !== RUNNER);
  const order = isRunnerFirst ? [RUNNER, ...others] : [...others, RUNNER];
  for (const name of order) {
    fleet.startAgain(name);
    await fleet.run(intervalMs);
  }
  return countKnown(fleet);
}

describe('origins of streams', () => {
  // Guards against reports that are slower than a rolling restart.
  for (const ms of [40, 100, 200, 300, 600, 1000]) {
    it(`survive hosts replaced each ${ms} ms, the one that began last`, async () => {
      assert.equal(await countAfterReplacement(ms, false), STREAMS);
    });
  }

  // Guards against records that nobody repeats once their host is gone.
  it('survive hosts replaced each second, the one that began first', async () => {
    assert.equal(await countAfterReplacement(1000, true), STREAMS);
  });

  it('survive the loss of each failure domain', async () => {
    for (const domain of DOMAINS) {
      const fleet = await createFleet();
      for (const name of fleet.listDomain(domain)) fleet.startAgain(name);
      assert.equal(await countKnown(fleet), STREAMS);
    }
  });
});
