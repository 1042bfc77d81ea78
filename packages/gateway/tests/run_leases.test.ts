/** Leases on runs across several hosts, some of which are lost or silent. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {sortIssuers} from '@irisdock/decisions';
import type {PeerDatagram} from '../src/model/peer_message.js';
import {MAX_SILENCE_MS, type LeaseOutcome} from '../src/serving/suspect_run.js';
import {RunLeaseClient} from '../src/services/run_lease_client.js';
import {RunLeaseIssuer} from '../src/services/run_lease_issuer.js';
import {VirtualClock} from './fixtures/virtual_clock.js';

const CONTENT = 'a'.repeat(32);
/** The latency of a datagram, in ms. */
const DATAGRAM_LATENCY_MS = 2;
/** Time within which requests are answered, in ms. */
const ANSWER_WAIT_MS = 200;
/** Time after which any lease without renewals has expired, in ms. */
const EXPIRY_WAIT_MS = 5000;

interface FleetHost {
  readonly name: string;
  readonly client: RunLeaseClient;
}

/** Hosts that request and grant leases in simulated time. */
class LeaseFleet {
  readonly clock = new VirtualClock();
  readonly hosts = new Map<string, FleetHost>();
  /** The hosts that every host considers alive. */
  alive: string[] = [];
  private recordsHash = 0;

  constructor(names: readonly string[]) {
    for (const name of names) this.add(name, 1);
  }

  /** The host that grants the leases of the content. */
  get issuer(): string {
    return sortIssuers(CONTENT, this.alive)[0] ?? '';
  }

  /** Lists the hosts that don't grant the leases of the content. */
  listOthers(): FleetHost[] {
    return [...this.hosts.values()].filter(({name}) => name !== this.issuer);
  }

  /** Stops a host at once; `isKnown` tells whether the others know of it. */
  kill(name: string, isKnown: boolean): void {
    this.hosts.delete(name);
    if (!isKnown) return;
    this.alive = this.alive.filter((other) => other !== name);
    this.recordsHash++;
  }

  /** Replaces a host by one that remembers nothing. */
  startAgain(name: string): void {
    this.kill(name, true);
    this.add(name, 2);
  }

  acquire(
    {client}: FleetHost,
    maxWaitMs = EXPIRY_WAIT_MS,
    signal = new AbortController().signal,
    maxSilenceMs = MAX_SILENCE_MS,
  ): Promise<LeaseOutcome> {
    const isNeeded = (): boolean => true;
    return client.acquire({
      content: CONTENT,
      signal,
      maxWaitMs,
      isNeeded,
      maxSilenceMs,
    });
  }

  /** Runs the clock until a request for a lease has its outcome. */
  async waitFor(outcome: Promise<LeaseOutcome>): Promise<LeaseOutcome> {
    await this.clock.run(ANSWER_WAIT_MS);
    return outcome;
  }

  /** Waits until leases that were granted before a change have expired. */
  async waitForExpiry(): Promise<void> {
    for (const {client} of this.hosts.values()) client.dropExpired();
    await this.clock.run(EXPIRY_WAIT_MS);
  }

  private add(name: string, incarnation: number): void {
    const {clock} = this;
    const peers = {
      listReadyNames: () => [...this.alive],
      sendToNames: (names: readonly string[], datagram: PeerDatagram) => {
        if (!this.hosts.has(name)) return;
        for (const to of names) this.send(to, datagram);
      },
    };
    Object.defineProperty(peers, 'recordsHash', {get: () => this.recordsHash});
    const issuerPeers = peers as typeof peers & {readonly recordsHash: number};
    const crashes = {
      listCrashes: (content: string) => [{content, instanceId: 'i-1'}],
    };
    const issuer = new RunLeaseIssuer({
      ownName: name,
      peers: issuerPeers,
      crashes,
      clock,
    });
    const identity = {
      name,
      incarnation,
      deployment: '',
      failureDomain: 'zone-a',
    };
    const client = new RunLeaseClient({identity, peers, issuer, clock});
    this.hosts.set(name, {name, client});
    this.alive.push(name);
    this.recordsHash++;
  }

  private send(to: string, datagram: PeerDatagram): void {
    this.clock.plan(DATAGRAM_LATENCY_MS, () => {
      const client = this.hosts.get(to)?.client;
      if (datagram.kind === 'lease-ask') client?.acceptLeaseRequest(datagram);
      if (datagram.kind === 'lease-end') client?.acceptLeaseRelease(datagram);
      if (datagram.kind === 'lease-answer') client?.acceptLeaseAnswer(datagram);
    });
  }
}

/** Creates a fleet of which every host may grant leases at once. */
async function createFleet(): Promise<LeaseFleet> {
  const fleet = new LeaseFleet(['h-1', 'h-2', 'h-3', 'h-4']);
  await fleet.waitForExpiry();
  return fleet;
}

/** Checks that a host gets the lease once it is released, and not before. */
async function checkWaitsFor(
  fleet: LeaseFleet,
  first: LeaseOutcome,
  host: FleetHost,
): Promise<void> {
  assert.ok(first.kind === 'granted');
  const second = fleet.acquire(host);
  let isSettled = false;
  void second.then(() => (isSettled = true));
  await fleet.clock.run(EXPIRY_WAIT_MS / 2);
  assert.equal(isSettled, false);
  first.lease.release();
  assert.equal((await fleet.waitFor(second)).kind, 'granted');
}

describe('the lease on a suspected content', () => {
  it('is granted to one host at a time, with the known crashes', async () => {
    const fleet = await createFleet();
    const [one, two] = fleet.listOthers();
    assert.ok(one && two);
    const first = await fleet.waitFor(fleet.acquire(one));
    assert.ok(first.kind === 'granted');
    assert.deepEqual(first.instanceIds, ['i-1']);
    await checkWaitsFor(fleet, first, two);
  });

  it('is not waited for longer than the request says', async () => {
    const fleet = await createFleet();
    const [one, two] = fleet.listOthers();
    assert.ok(one && two);
    await fleet.waitFor(fleet.acquire(one));
    const second = await fleet.waitFor(fleet.acquire(two, ANSWER_WAIT_MS / 2));
    assert.equal(second.kind, 'held');
  });

  it('expires when its holder is lost', async () => {
    const fleet = await createFleet();
    const [one, two] = fleet.listOthers();
    assert.ok(one && two);
    await fleet.waitFor(fleet.acquire(one));
    fleet.kill(one.name, true);
    const second = fleet.acquire(two);
    await fleet.clock.run(EXPIRY_WAIT_MS / 2);
    assert.equal((await second).kind, 'granted');
  });

  // Guards against a new issuer that doesn't know of the current lease.
  it('is kept when its issuer is lost', async () => {
    const fleet = await createFleet();
    const [one, two] = fleet.listOthers();
    assert.ok(one && two);
    const first = await fleet.waitFor(fleet.acquire(one));
    fleet.kill(fleet.issuer, true);
    await checkWaitsFor(fleet, first, two);
  });

  // Guards against a restarted issuer that grants a lease which is held.
  it('is kept when its issuer restarts', async () => {
    const fleet = await createFleet();
    const [one, two] = fleet.listOthers();
    assert.ok(one && two);
    const first = await fleet.waitFor(fleet.acquire(one));
    fleet.startAgain(fleet.issuer);
    await checkWaitsFor(fleet, first, two);
  });

  // Guards against a started host that takes leases over without waiting.
  it('is kept when a host starts that becomes its issuer', async () => {
    const fleet = await createFleet();
    const {issuer} = fleet;
    fleet.kill(issuer, true);
    await fleet.waitForExpiry();
    const [one, two] = fleet.listOthers();
    assert.ok(one && two);
    const first = await fleet.waitFor(fleet.acquire(one));
    fleet.startAgain(issuer);
    await checkWaitsFor(fleet, first, two);
  });

  // Guards against harmless streams that wait for a lost host.
  it('is not waited for when its issuer is silent', async () => {
    const fleet = await createFleet();
    const [one] = fleet.listOthers();
    assert.ok(one);
    fleet.kill(fleet.issuer, false);
    const outcome = fleet.acquire(one);
    await fleet.clock.run(1000);
    assert.equal((await outcome).kind, 'not-needed');
  });

  // Guards against a content that crashed endpoints and runs at two hosts at
  // once because the issuer of its leases was lost.
  it('is waited for until another host replaces its issuer', async () => {
    const fleet = await createFleet();
    const {issuer} = fleet;
    const [one, two] = fleet.listOthers();
    assert.ok(one && two);
    const {signal} = new AbortController();
    const outcomes = [one, two].map((host) =>
      fleet.acquire(host, EXPIRY_WAIT_MS, signal, EXPIRY_WAIT_MS),
    );
    fleet.kill(issuer, false);
    await fleet.clock.run(1000);
    fleet.kill(issuer, true);
    await fleet.clock.run(EXPIRY_WAIT_MS);
    const kinds = (await Promise.all(outcomes)).map(({kind}) => kind);
    assert.deepEqual(kinds.sort(), ['granted', 'held']);
  });
});
