/** Where the service of usage reports takes effect, and what it sends. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {decode, encode} from '@msgpack/msgpack';
import type {Clock, ServiceContext} from '@irisdock/kernel';
import {Registry} from 'prom-client';
import {
  decodePeerDatagram,
  encodePeerDatagram,
} from '../src/model/peer_codec.js';
import type {PeerDatagram} from '../src/model/peer_message.js';
import type {SingletonTask} from '../src/model/singleton_task.js';
import {BegunRequests} from '../src/serving/begun_requests.js';
import {DatagramHandlers} from '../src/services/datagram_handlers.js';
import {UsageExchange} from '../src/services/usage_exchange.js';
import {USAGE_REPORTS_SERVICE} from '../src/services/usage_reports.js';
import {SILENT_LOG} from './fixtures/silent_log.js';
import {VirtualClock} from './fixtures/virtual_clock.js';

/** The maximum length of a datagram, in bytes. */
const MAX_DATAGRAM_BYTES = 1200;

/** Creates the exchange of a host that sends to another one. */
function createExchange(
  clock: Pick<Clock, 'getNow' | 'getWallNow'>,
  sent: PeerDatagram[] = [],
): UsageExchange {
  return new UsageExchange({
    name: 'host-with-a-name-of-usual-length',
    incarnation: 1_700_000_000_000,
    windowMs: 5000,
    finalizeMs: 2000,
    peers: {
      sendToAll: () => undefined,
      sendToNames: (_names, datagram) => sent.push(datagram),
    },
    tasks: {listCandidates: () => ['b']},
    clock,
  });
}

interface ServiceParts {
  readonly tasks: readonly SingletonTask[];
  readonly begunRequests: BegunRequests;
  readonly handlers: DatagramHandlers;
}

function createService(
  isEnabled: boolean,
  isConfigured: boolean,
): ServiceParts {
  const tasks: SingletonTask[] = [];
  const clock = new VirtualClock();
  const begunRequests = new BegunRequests(clock);
  const handlers = new DatagramHandlers();
  const services: Readonly<Record<string, unknown>> = {
    begunRequests,
    host: {name: 'a', incarnation: 1},
    peers: {handlers},
    platformApi: {isConfigured},
    tasks: {
      isEnabled: () => isEnabled,
      register: (task: SingletonTask) => tasks.push(task),
    },
  };
  const context = {
    clock,
    log: SILENT_LOG,
    metrics: new Registry(),
    find: ({name}: {name: string}) => services[name],
  };
  const {settings} = USAGE_REPORTS_SERVICE;
  USAGE_REPORTS_SERVICE.create(
    context as unknown as ServiceContext,
    settings.parse({}),
  );
  return {tasks, begunRequests, handlers};
}

describe('the service of usage reports', () => {
  // Other deployments would count and send what nobody asks for.
  it('is idle unless the task is enabled and there is an API', () => {
    for (const isEnabled of [false, true]) {
      for (const isConfigured of [false, true]) {
        const parts = createService(isEnabled, isConfigured);
        const isActive = isEnabled && isConfigured;
        assert.equal(parts.tasks.length, isActive ? 1 : 0);
        assert.equal(parts.begunRequests.listener !== undefined, isActive);
        assert.equal(parts.handlers.begun !== undefined, isActive);
      }
    }
  });

  // A longer datagram would be split on the way and lost as a whole.
  it('splits the counts of many teams over several datagrams', () => {
    const sent: PeerDatagram[] = [];
    const exchange = createExchange(new VirtualClock(), sent);
    for (let i = 0; i < 200; i++) exchange.recordBegun(`team-${i}`, 0);
    exchange.startTick();
    assert.ok(sent.length > 1);
    let count = 0;
    for (const datagram of sent) {
      const bytes = encodePeerDatagram(datagram);
      assert.ok(bytes.length <= MAX_DATAGRAM_BYTES, `${bytes.length} bytes`);
      const decoded = decodePeerDatagram(bytes)._unsafeUnwrap();
      assert.deepEqual(decoded, datagram);
      if (decoded.kind === 'begun-report') count += decoded.counts.length;
    }
    assert.equal(count, 200);
  });

  // A part of an answer that passed for all of it would count requests twice.
  it('tells whole answers from parts', () => {
    const sent: PeerDatagram[] = [];
    const exchange = createExchange(new VirtualClock(), sent);
    exchange.recordBegun('first', 0);
    const request = {kind: 'begun-ask', name: 'b', fromWindow: 0} as const;
    exchange.acceptBegunRequest(request);
    for (let i = 0; i < 60; i++) exchange.recordBegun(`team-${i}`, 0);
    exchange.acceptBegunRequest(request);
    const places: unknown[] = [];
    for (const datagram of sent) {
      const bytes = encodePeerDatagram(datagram);
      assert.ok(bytes.length <= MAX_DATAGRAM_BYTES, `${bytes.length} bytes`);
      const fields = decode(bytes) as unknown[];
      places.push(fields.at(-1));
      assert.deepEqual(decodePeerDatagram(bytes)._unsafeUnwrap(), datagram);
    }
    const whole = [1, 0, 1];
    const parts = [0, 1].map((index) => [2, index, 2]);
    assert.deepEqual(places, [whole, ...parts]);
  });

  // The platform expects no count of a call that an endpoint refused to run.
  it('does not count a call that is rejected late', async () => {
    const {begunRequests} = createService(true, true);
    const begun: string[] = [];
    begunRequests.listener = (team) => void begun.push(team);
    const result = {kind: 'refused', detail: ''} as const;
    await begunRequests.watchCall('first', () => sleep(700, result));
    assert.deepEqual(begun, []);
  });

  // A longer wait would miss the window, a shorter one count rejected calls.
  it('counts a call without an answer shortly before it is too late', () => {
    const {begunRequests} = createService(true, true);
    const offsetMs = new VirtualClock().getWallNow();
    for (const sentAt of [0, 1700, 4999, 5000]) {
      const end = (Math.floor((offsetMs + sentAt) / 5000) + 1) * 5000;
      const at = begunRequests.computeLatestCount(sentAt);
      assert.equal(at, end + 1250 - offsetMs);
    }
  });

  // A host that took the times of reports which had waited assigned its requests
  // to earlier windows for a minute, unless newer reports followed.
  it('does not follow the times of reports that waited', () => {
    for (const isTickFirst of [false, true]) {
      let now = 0;
      const getNow = (): number => now;
      const exchange = createExchange({getNow, getWallNow: getNow});
      const runTicks = (count: number): void => {
        for (let tick = 0; tick < count; tick++) {
          now += 250;
          exchange.startTick();
        }
      };
      runTicks(8);
      const time = now;
      now += 700;
      if (isTickFirst) exchange.startTick();
      for (const name of ['b', 'c', 'd']) {
        const report = {kind: 'begun-report', name, incarnation: 1} as const;
        exchange.acceptBegunReport({...report, time, counts: []});
      }
      runTicks(80);
      assert.equal(exchange.getTime(), now);
    }
  });

  // A count that is no number would make the sums of all hosts invalid.
  it('drops a datagram with an invalid count', () => {
    for (const count of [-1, 0.5, NaN, Infinity, '1']) {
      const bytes = encode(['b', 'a', 1, 1, [[7, 'first', count]]]);
      assert.ok(decodePeerDatagram(bytes).isErr(), String(count));
    }
  });
});
