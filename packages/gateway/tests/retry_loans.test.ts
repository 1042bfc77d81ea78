/** Retries that hosts lend each other, some of which are lost. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom} from '@irisdock/kernel';
import {Counter, Registry} from 'prom-client';
import {
  decodePeerDatagram,
  encodePeerDatagram,
} from '../src/model/peer_codec.js';
import type {PeerDatagram} from '../src/model/peer_message.js';
import {RetryBudgets} from '../src/serving/retry_budgets.js';
import {RetryLoans} from '../src/services/retry_loans.js';
import {VirtualClock} from './fixtures/virtual_clock.js';

const SERVICE = 'engines';
const HOSTS = 40;
/** Retries of all hosts together, of which each has a share of 0.4. */
const RETRIES = 16;
const OPTIONS = {
  windowMs: 10_000,
  ratio: 0,
  allowance: RETRIES,
  usedFraction: 1,
};
const LATENCY_MS = 2;
/** Longer than a search for lenders takes, shorter than the pause after. */
const RUN_MS = 1000;

/** Hosts that lend each other retries in simulated time. */
class LoanFleet {
  readonly clock = new VirtualClock();
  readonly budgets: RetryBudgets[] = [];
  readonly lost = new Set<string>();
  datagrams = 0;
  latencyMs = LATENCY_MS;
  private readonly loans = new Map<string, RetryLoans>();

  constructor(maxLenders: number) {
    const names = Array.from({length: HOSTS}, (_, index) => `h-${index}`);
    const counter = new Counter({
      name: 'loans',
      help: 'Loans.',
      labelNames: ['result'],
      registers: [new Registry()],
    });
    for (const [index, name] of names.entries()) {
      const {clock} = this;
      const budgets = new RetryBudgets(
        OPTIONS,
        () => HOSTS,
        () => clock.getNow(),
      );
      const peers = {
        name,
        listReadyNames: () => names,
        sendToNames: (to: readonly string[], datagram: PeerDatagram) => {
          this.send(to, datagram);
        },
      };
      const random = new SeededRandom(index + 1);
      const parts = {budgets, peers, clock, random, loans: counter, maxLenders};
      const retryLoans = new RetryLoans(parts);
      budgets.lender = retryLoans;
      this.loans.set(name, retryLoans);
      this.budgets.push(budgets);
    }
  }

  /** Takes a retry at some hosts at once, borrowed if necessary. */
  async takeRetries(hosts: number): Promise<number> {
    const found = this.budgets.slice(0, hosts).map(async (budgets) => {
      await budgets.tryBorrow(SERVICE);
      return budgets.takeRetry(SERVICE);
    });
    await this.clock.run(RUN_MS);
    return (await Promise.all(found)).filter(Boolean).length;
  }

  private send(names: readonly string[], datagram: PeerDatagram): void {
    this.datagrams += names.length;
    const decoded = decodePeerDatagram(encodePeerDatagram(datagram));
    const received = decoded._unsafeUnwrap();
    this.clock.plan(this.latencyMs, () => {
      for (const name of names) {
        const loans = this.lost.has(name) ? undefined : this.loans.get(name);
        if (received.kind === 'loan-ask') loans?.acceptLoanRequest(received);
        if (received.kind === 'loan-answer') loans?.acceptLoanAnswer(received);
      }
    });
  }
}

describe('retries of many hosts', () => {
  // Guards against shares below one retry, which allow none.
  it('are borrowed by the hosts that need them', async () => {
    const fleet = new LoanFleet(HOSTS);
    const taken = await fleet.takeRetries(8);
    assert.ok(taken >= 6, `${taken}`);
  });

  it('never exceed the budget of all hosts', async () => {
    const fleet = new LoanFleet(HOSTS);
    const taken = await fleet.takeRetries(HOSTS);
    assert.ok(taken <= RETRIES, `${taken}`);
  });

  it('are borrowed from others when hosts are lost', async () => {
    const fleet = new LoanFleet(HOSTS);
    for (let host = 20; host < HOSTS; host++) fleet.lost.add(`h-${host}`);
    assert.equal(await fleet.takeRetries(1), 1);
  });

  it('are not asked for without lenders', async () => {
    const fleet = new LoanFleet(0);
    assert.equal(await fleet.takeRetries(1), 0);
    assert.equal(fleet.datagrams, 0);
  });

  // Guards against a loan for each repeat of a request that is answered late.
  it('are lent once for a repeated request', async () => {
    const fleet = new LoanFleet(HOSTS);
    fleet.latencyMs = 30;
    assert.equal(await fleet.takeRetries(1), 1);
    // Each lender has 0.4 of a retry, of which it lends half of 0.6.
    for (const lender of fleet.budgets.slice(1)) {
      const missing = lender.getMissing(SERVICE);
      assert.ok(missing < 0.95, `${missing}`);
    }
  });

  // Guards against a silent stream that asks all hosts every 50 ms.
  it('are not asked for again at once', async () => {
    const fleet = new LoanFleet(HOSTS);
    for (let host = 1; host < HOSTS; host++) fleet.lost.add(`h-${host}`);
    assert.equal(await fleet.takeRetries(1), 0);
    const {datagrams} = fleet;
    assert.ok(datagrams > 0);
    assert.equal(await fleet.takeRetries(1), 0);
    assert.equal(fleet.datagrams, datagrams);
  });
});
