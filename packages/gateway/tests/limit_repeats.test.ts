/** Reports of limits between four hosts, in virtual time. */
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {sortIssuers} from '@irisdock/decisions';
import type {LimitsDatagram} from '../src/model/limit_datagram.js';
import {KnownLimits} from '../src/services/known_limits.js';
import {LimitRepeater} from '../src/services/limit_repeater.js';
import {SendLimits} from '../src/services/send_limits.js';
import {SILENT_LOG} from './fixtures/silent_log.js';
import {VirtualClock} from './fixtures/virtual_clock.js';

const HEARTBEAT_MS = 300;
const STEP_MS = 100;
/** The hosts start apart, so they remove old entries at different times. */
const START_SPREAD_MS = 1100;
const NAMES = ['host-0', 'host-1', 'host-2', 'host-3'];
const ID = 'endpoint';

/** Four hosts that hear each other unless they are cut off. */
class LimitFleet {
  readonly clock = new VirtualClock();
  readonly endpoints = new Set([ID]);
  readonly cutOff = new Set<string>();
  readonly hosts = new Map<string, SendLimits>();
  /** Counts of the datagrams sent to all hosts and to one. */
  readonly sent = {toAll: 0, toOne: 0};

  constructor() {
    for (const name of NAMES) this.addHost(name);
  }

  /** Starts a host, in place of the one of this name. */
  addHost(name: string, endpoints: ReadonlySet<string> = this.endpoints): void {
    this.hosts.get(name)?.close();
    const others = NAMES.filter((other) => other !== name);
    const limits = new SendLimits({
      identity: {name, incarnation: 1},
      peers: {
        recordsHash: 1,
        countPossiblyAlive: () => NAMES.length,
        listReadyNames: () => NAMES,
        sendToAll: (datagram) => {
          this.sent.toAll++;
          this.pass(name, others, datagram as LimitsDatagram);
        },
        sendToNames: (names, datagram) => {
          this.sent.toOne++;
          this.pass(name, names, datagram as LimitsDatagram);
        },
      },
      isEndpointKnown: (instanceId) => endpoints.has(instanceId),
      hasLoadedEndpoints: () => endpoints.size > 0,
      clock: this.clock,
      log: SILENT_LOG,
    });
    this.hosts.set(name, limits);
  }

  getHost(name: string): SendLimits {
    const host = this.hosts.get(name);
    assert.ok(host);
    return host;
  }

  countKnowing(): number {
    const rates = [...this.hosts.values()].map((host) => host.known.count);
    return rates.filter((count) => count > 0).length;
  }

  async run(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      await this.clock.run(STEP_MS);
      mock.timers.tick(STEP_MS);
      for (const [at, name] of NAMES.entries()) {
        const since = this.clock.getNow() - at * START_SPREAD_MS;
        if (since < 0 || since % HEARTBEAT_MS !== 0) continue;
        this.getHost(name).startHeartbeat();
      }
    }
  }

  close(): void {
    for (const host of this.hosts.values()) host.close();
  }

  private pass(
    from: string,
    names: readonly string[],
    datagram: LimitsDatagram,
  ): void {
    if (this.cutOff.has(from)) return;
    for (const name of names) {
      if (this.cutOff.has(name)) continue;
      setTimeout(() => {
        this.getHost(name).acceptLimits(datagram);
      }, 1);
    }
  }

  /** Applies a response of an endpoint to a request of a host. */
  recordAnswer(name: string, perSecond?: number, instanceId = ID): void {
    this.getHost(name).recordAnswer({
      target: {instanceId, endpointId: ID, address: '10.0.0.1:1'},
      limit: perSecond === undefined ? undefined : {kind: 'rate', perSecond},
      isTelling: true,
      sentAt: this.clock.getNow(),
    });
  }
}

describe('a limit that hosts report to each other', () => {
  let fleet: LimitFleet;
  beforeEach(() => {
    mock.timers.enable({apis: ['setTimeout']});
    fleet = new LimitFleet();
  });
  afterEach(() => {
    fleet.close();
    mock.timers.reset();
  });
  const [first = '', last = ''] = sortIssuers(ID, NAMES);

  // Guards against hosts that tell each other a limit after each has dropped
  // it: it was still known to all of them 48 s after the endpoint was gone.
  it('is forgotten when its endpoint is gone', async () => {
    fleet.recordAnswer(last, 3);
    await fleet.run(6000);
    assert.equal(fleet.countKnowing(), NAMES.length);
    fleet.endpoints.clear();
    fleet.endpoints.add('other');
    const before = {...fleet.sent};
    await fleet.run(10_000);
    assert.equal(fleet.countKnowing(), 0);
    assert.deepEqual(fleet.sent, before);
  });

  // Guards against a host that ignores limits until it has loaded endpoints,
  // and then sends as if there were none.
  it('is learned by a host that has not loaded the endpoints', async () => {
    fleet.recordAnswer(last, 3);
    await fleet.run(6000);
    fleet.addHost(first, new Set());
    await fleet.run(3000);
    assert.equal(fleet.countKnowing(), NAMES.length);
  });

  // Guards against limits of new endpoints that are lost as the report arrives
  // before the entry of the endpoint.
  it('is learned before the entry of its endpoint', async () => {
    fleet.addHost(first, new Set(['other']));
    fleet.recordAnswer(last, 3);
    await fleet.run(2 * STEP_MS);
    assert.equal(fleet.getHost(first).known.findRate(ID), 3);
  });

  // Guards against an ended limit that a host revives at all others, which
  // have dropped their ended reports.
  it('stays ended when a host was out of touch', async () => {
    fleet.recordAnswer(first, 3);
    await fleet.run(3000);
    fleet.cutOff.add(last);
    fleet.recordAnswer(first);
    await fleet.run(70_000);
    assert.equal(fleet.countKnowing(), 1);
    fleet.cutOff.delete(last);
    await fleet.run(5000);
    assert.equal(fleet.countKnowing(), 1);
  });

  // Guards against sends without permits to an idle endpoint, whose limit the
  // issuer does not know because its last response is too old to be told.
  it('is enforced by an issuer that is asked for permits', async () => {
    const {clock} = fleet;
    fleet.recordAnswer(last, 3);
    await fleet.run(70_000);
    fleet.addHost(first);
    await fleet.run(3000);
    const issuer = fleet.getHost(first);
    assert.equal(issuer.known.findRate(ID), undefined);
    issuer.acceptPermitRequest({
      kind: 'permit-ask',
      name: last,
      incarnation: 1,
      number: 1,
      wanted: {begun: 0, usual: 1, aside: 0},
      refused: 0,
      limit: {instanceId: ID, perSecond: 3, ageMs: clock.getNow()},
    });
    assert.equal(issuer.known.findRate(ID), 3);
  });

  // Guards against one datagram for each limit.
  it('is told to its issuer together with others of this issuer', () => {
    const ids = Array.from({length: 40}, (_, at) => `endpoint-${at}`);
    const issuers = new Set(ids.map((id) => sortIssuers(id, NAMES)[0]));
    issuers.delete(NAMES[0]);
    for (const id of ids) {
      fleet.endpoints.add(id);
      fleet.recordAnswer('host-0', 3, id);
    }
    mock.timers.tick(20);
    assert.equal(fleet.sent.toOne, issuers.size);
  });
});

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
