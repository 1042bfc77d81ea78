/** Copies of the KV cache of a stream whose engine does not answer for a while. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {RoarrLogger, SeededRandom} from '@irisdock/kernel';
import {EndpointRecord} from '../src/serving/endpoint_record.js';
import type {EngineAnswer} from '../src/serving/engine_client.js';
import {KvCacheReplicator} from '../src/serving/kv_cache_replicator.js';
import type {ServingParts} from '../src/serving/serving_parts.js';

/** As many copies as may fail before an engine gets no more requests. */
const MAX_FAILED_COPIES = 4;
/** Longer than it takes until the last of the copies of a test, in ms. */
const TEST_MS = 4000;
const CHECK_MS = 20;
const NAME = 'copy';

function createEngine(name: string): EndpointRecord {
  return new EndpointRecord(
    {
      instanceId: `i-${name}`,
      endpointId: name,
      address: '127.0.0.1:1',
      failureDomain: name,
      service: 'engines',
      version: '',
      slots: 8,
      state: 'ready',
    },
    () => 1_000_000,
    () => performance.now(),
  );
}

/** An engine that handles requests for copies in turn, the last one for ever. */
class CopyingEngine {
  sends = 0;

  constructor(
    private readonly answers: readonly (EngineAnswer | undefined)[],
  ) {}

  send(): Promise<EngineAnswer | undefined> {
    const answer = this.answers[Math.min(this.sends, this.answers.length - 1)];
    this.sends++;
    return Promise.resolve(answer);
  }
}

function createReplicator(
  engine: CopyingEngine,
  others: readonly EndpointRecord[] = [createEngine('other')],
): KvCacheReplicator {
  const primary = createEngine('primary');
  const engineClient: Partial<ServingParts['engineClient']> = {
    send: () => engine.send(),
  };
  const crashes: Partial<ServingParts['crashes']> = {hasCrashes: false};
  const endpoints: Partial<ServingParts['endpoints']> = {
    listOpenToBegun: () => others.filter((other) => other.isReady),
  };
  const call = {method: 'POST', path: '/copy', body: ''} as const;
  const parts: Partial<ServingParts> = {
    engineClient: engineClient as ServingParts['engineClient'],
    crashes: crashes as ServingParts['crashes'],
    endpoints: endpoints as ServingParts['endpoints'],
    copyCodec: {
      encodeCopy: () => call,
      decodeCopy: (status) => (status === 200 ? NAME : undefined),
      encodeDropCopy: () => call,
    },
    log: new RoarrLogger('test', 'off'),
    random: new SeededRandom(1),
  };
  const request = {
    expectedTokens: 10,
    promptTokens: 10,
    excluded: new Set<string>(),
    avoidedDomains: new Set<string>(),
    promptKey: '',
    keptTokens: new Map<string, number>(),
  };
  return new KvCacheReplicator(
    parts as ServingParts,
    'one',
    primary,
    undefined,
    request,
  );
}

/** Replicates until there is a replica, or the time of a test is over. */
async function runReplicator(
  answers: readonly (EngineAnswer | undefined)[],
): Promise<{readonly hasReplica: boolean; readonly sends: number}> {
  const engine = new CopyingEngine(answers);
  const replicator = createReplicator(engine);
  replicator.start();
  const until = performance.now() + TEST_MS;
  while (performance.now() < until) {
    if (replicator.findReplica() !== undefined) break;
    await pause(CHECK_MS);
  }
  const hasReplica = replicator.findReplica() !== undefined;
  const {sends} = engine;
  replicator.stop(true);
  return {hasReplica, sends};
}

describe('the replica of a stream', {concurrency: true}, () => {
  const failed = {status: 500, body: ''};
  const copied = {status: 200, body: ''};

  it('is made after its engine did not answer for a while', async () => {
    const silences = Array.from({length: MAX_FAILED_COPIES}, () => undefined);
    const {hasReplica} = await runReplicator([...silences, copied]);
    assert.equal(hasReplica, true);
  });

  // Guards against streams without a replica when its holder is reclaimed.
  it('is made elsewhere when the end of its holder is announced', async () => {
    const others = [createEngine('other'), createEngine('another')];
    const replicator = createReplicator(new CopyingEngine([copied]), others);
    replicator.start();
    const findHolder = (): EndpointRecord | undefined =>
      replicator.findReplica()?.holder;
    const until = performance.now() + TEST_MS;
    while (findHolder() === undefined && performance.now() < until) {
      await pause(CHECK_MS);
    }
    const first = findHolder();
    assert.ok(first);
    first.entry = {...first.entry, state: 'leaving'};
    first.recordEnd(TEST_MS);
    while (findHolder() === first && performance.now() < until) {
      await pause(CHECK_MS);
    }
    assert.notEqual(findHolder(), first);
    replicator.stop(true);
  });

  // Guards against requests without end to engines that make no copies.
  it('is not requested any more after several failures', async () => {
    const {hasReplica, sends} = await runReplicator([failed]);
    assert.equal(hasReplica, false);
    assert.equal(sends, MAX_FAILED_COPIES);
  });
});
