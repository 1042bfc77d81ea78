/**
 * Borrows parts of retry budgets from other hosts. Where many hosts share a
 * budget, a host's own share is mostly less than one retry, while the streams
 * of a lost failure domain are those of a few hosts.
 * docs/design/domain_outages.md.
 */
import {computeWantedLoan, splitLenders} from '@irisdock/decisions';
import {getShuffled, type Clock, type Random} from '@irisdock/kernel';
import type {Counter} from 'prom-client';
import type {
  LoanRequestDatagram,
  LoanResponseDatagram,
} from '../model/loan_datagram.js';
import type {RetryBudgets, RetryLender} from '../serving/retry_budgets.js';
import type {LoanDatagramHandler} from './datagram_handlers.js';
import {GivenLoans} from './given_loans.js';
import type {Peers} from './peer_hosts.js';
import {PeerRequests} from './peer_requests.js';

/**
 * How long no host is asked after all that were asked lent too little, in ms. A
 * stream whose engine is silent looks for a retry every 50 ms.
 */
const PAUSE_MS = 500;

/** Dependencies of the loans. */
export interface RetryLoansParts {
  readonly budgets: Pick<RetryBudgets, 'addLoan' | 'getMissing' | 'offerLoan'>;
  readonly peers: Pick<Peers, 'listReadyNames' | 'name' | 'sendToNames'>;
  readonly clock: Clock;
  readonly random: Random;
  /** Counts searches for a loan, by result. */
  readonly loans: Counter;
  /** How many hosts are asked for one retry; none if 0. */
  readonly maxLenders: number;
}

/** Borrows retries for this host and lends its own to others. */
export class RetryLoans implements RetryLender, LoanDatagramHandler {
  private readonly requests: PeerRequests<
    LoanRequestDatagram,
    LoanResponseDatagram
  >;
  private readonly given: GivenLoans;
  /** When other hosts may be asked again, in ms, by service. */
  private readonly pausedUntil = new Map<string, number>();

  constructor(private readonly parts: RetryLoansParts) {
    const {clock, peers} = parts;
    this.given = new GivenLoans(clock);
    this.requests = new PeerRequests(clock, (to, request) => {
      peers.sendToNames([to], request);
    });
  }

  /** Borrows what is missing for one retry; gives up after some hosts. */
  async acquire(service: string): Promise<void> {
    const {clock, loans, maxLenders} = this.parts;
    if (maxLenders === 0 || !this.isMissing(service)) return;
    if (clock.getNow() < (this.pausedUntil.get(service) ?? 0)) return;
    for (const names of splitLenders(this.chooseLenders())) {
      await this.poll(names, service);
      if (!this.isMissing(service)) break;
    }
    const isFound = !this.isMissing(service);
    loans.inc({result: isFound ? 'enough' : 'too-little'});
    if (!isFound) this.pausedUntil.set(service, clock.getNow() + PAUSE_MS);
  }

  acceptLoanRequest(request: LoanRequestDatagram): void {
    const {name, number} = request;
    const amount = this.given.findAmount(request) ?? this.offerLoan(request);
    this.parts.peers.sendToNames([name], {kind: 'loan-answer', number, amount});
  }

  acceptLoanAnswer(answer: LoanResponseDatagram): void {
    this.requests.accept(answer);
  }

  private offerLoan(request: LoanRequestDatagram): number {
    const {service, wanted} = request;
    const amount = this.parts.budgets.offerLoan(service, wanted);
    this.given.record(request, amount);
    return amount;
  }

  private isMissing(service: string): boolean {
    return this.parts.budgets.getMissing(service) > 0;
  }

  private chooseLenders(): string[] {
    const {peers, random, maxLenders} = this.parts;
    const others = peers.listReadyNames().filter((name) => name !== peers.name);
    return getShuffled(others, random).slice(0, maxLenders);
  }

  /** Asks some hosts; resolves when all answered or nothing is missing. */
  private async poll(names: readonly string[], service: string): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      const polls = names.map(async (name) => {
        await this.pollOne(name, service);
        if (!this.isMissing(service)) resolve();
      });
      Promise.all(polls).then(() => {
        resolve();
      }, reject);
    });
  }

  private async pollOne(lender: string, service: string): Promise<void> {
    const {budgets, peers} = this.parts;
    const wanted = computeWantedLoan(budgets.getMissing(service));
    const {name} = peers;
    const answer = await this.requests.poll(lender, (number) => {
      return {kind: 'loan-ask', name, number, service, wanted};
    });
    if (answer !== undefined) budgets.addLoan(service, answer.amount);
  }
}
