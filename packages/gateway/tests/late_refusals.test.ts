/** New streams beside an idle engine that failed and serves again. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom} from '@irisdock/kernel';
import {LateRefusals, type NewStream} from '../src/serving/late_refusals.js';
import {createEndpoint} from './fixtures/endpoints.js';
import {SILENT_LOG} from './fixtures/silent_log.js';
import {VirtualClock} from './fixtures/virtual_clock.js';

const SLOTS = 8;
const CLAIM = {running: 1, unreadTokens: 10, expectedTokens: 100};

/** Three full engines, and an idle one that failed and answers probes. */
class CrowdedService {
  readonly clock = new VirtualClock();
  readonly idle = this.createEngine('idle', 0);
  private readonly engines = [
    this.idle,
    ...['a', 'b', 'c'].map((name) => this.createEngine(name, SLOTS)),
  ];
  private readonly refusals: LateRefusals;

  constructor() {
    this.refusals = new LateRefusals({
      clock: this.clock,
      random: new SeededRandom(1),
      log: SILENT_LOG,
      refusals: {inc: () => undefined},
      maxTargets: 1.25,
    } as unknown as ConstructorParameters<typeof LateRefusals>[0]);
    for (let count = 0; count < 5; count++) {
      this.refusals.recordFirstEvent('s', 10, 10);
    }
    this.idle.recordFailure(1);
  }

  /** Decides on new streams that arrive at once; counts the served ones. */
  async countServed(streams: number): Promise<number> {
    const decide = async (): Promise<boolean> => {
      const decision = await this.refusals.decide(this.createStream());
      if (decision?.kind !== 'served') return false;
      // The stream counts at its engine once it has a permit.
      await Promise.resolve();
      decision.engine.addClaim({...CLAIM});
      return true;
    };
    const served = await Promise.all(Array.from({length: streams}, decide));
    return served.filter(Boolean).length;
  }

  private createStream(): NewStream {
    const request = {
      expectedTokens: 100,
      promptTokens: 10,
      excluded: new Set(),
      avoidedDomains: new Set(),
      promptKey: 'p',
      keptTokens: new Map(),
    };
    const stream = {
      request: {exchange: {startedAt: this.clock.getNow()}},
      route: {targetLatencyMs: 500},
      service: 's',
      planner: {
        createEngineRequest: () => request,
        listKnownEngines: () => this.engines,
      },
      prober: {probe: async () => Promise.resolve('answers')},
    };
    return stream as unknown as NewStream;
  }

  private createEngine(
    name: string,
    streams: number,
  ): ReturnType<typeof createEndpoint> {
    const engine = createEndpoint(name, () => this.clock.getNow());
    engine.entry = {...engine.entry, slots: SLOTS};
    for (let count = 0; count < streams; count++) engine.addClaim({...CLAIM});
    return engine;
  }
}

describe('new streams beside an idle engine that failed', () => {
  // Guards against refusals while an engine that answered has free slots, and
  // against more streams there than it has slots.
  it('get its slots once it answers', async () => {
    const service = new CrowdedService();
    assert.equal(await service.countServed(40), SLOTS);
    assert.equal(service.idle.streams, SLOTS);
  });

  it('get them one after the other, for a second', async () => {
    const service = new CrowdedService();
    for (const waitMs of [0, 300, 600]) {
      await service.clock.run(waitMs);
      assert.equal(await service.countServed(1), 1);
    }
    await service.clock.run(200);
    assert.equal(await service.countServed(1), 0);
  });

  it('get none of them once it fails again', async () => {
    const service = new CrowdedService();
    assert.equal(await service.countServed(2), 2);
    service.idle.recordFailure(1);
    assert.equal(await service.countServed(2), 0);
  });
});
