/**
 * What a host does while roll-outs are under way: it tells those that decide
 * what it saw, decides itself when it is the first of them, and takes the
 * phase from whoever did. Without a roll-out it does nothing at all.
 */
import type {Clock, Logger} from '@irisdock/kernel';
import {getErrorText} from '@irisdock/kernel';
import type {
  RolloutPhaseDatagram,
  RolloutReportDatagram,
} from '../model/peer_message.js';
import type {RolloutState} from '../serving/rollout_state.js';
import type {Rollouts} from '../serving/rollouts.js';
import type {Peers} from './peer_hosts.js';
import type {RolloutDecider} from './rollout_decider.js';

/** The time between two steps, in ms. */
const STEP_MS = 150;
/**
 * The time between two reports of a host, in ms, and for each host: the two that
 * take them get some hundred a second at most, however many hosts there are.
 */
const REPORT_MS = 450;
const REPORT_MS_PER_HOST = 10;
/** How long the end of a roll-out is told again, and how often, in ms. */
const TELL_MS = 10_000;
const TELL_EVERY_MS = 1000;

/** What the runner needs of the rest. */
export interface RolloutRunnerParts {
  readonly name: string;
  readonly incarnation: number;
  readonly rollouts: Rollouts;
  readonly decider: RolloutDecider;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Runs while there are roll-outs. */
export class RolloutRunner {
  private readonly controller = new AbortController();
  private running: Promise<void> | undefined;
  private sequence = 0;
  private reportedAt = -Infinity;
  private readonly toldAt = new Map<RolloutState, number>();
  private readonly overAt = new Map<RolloutState, number>();
  private readonly sequences = new Map<string, readonly [number, number]>();

  constructor(private readonly parts: RolloutRunnerParts) {}

  /** Runs from now on until all roll-outs are over. */
  start(): void {
    this.running ??= this.run().finally(() => {
      this.running = undefined;
    });
  }

  async stop(): Promise<void> {
    this.controller.abort();
    await this.running;
  }

  /** Writes the status of ended roll-outs again after a restore. */
  handleRestored(): void {
    this.parts.decider.dropStatuses();
    this.overAt.clear();
    this.start();
  }

  /** Tells at once what changed here. */
  handleChange(): void {
    this.reportedAt = -Infinity;
    this.start();
  }

  /** Takes what another host saw. */
  acceptReport(datagram: RolloutReportDatagram): void {
    const {name, incarnation, sequence, reports} = datagram;
    const [life, last] = this.sequences.get(name) ?? [0, 0];
    if (incarnation === life && sequence <= last) return;
    this.sequences.set(name, [incarnation, sequence]);
    for (const report of reports) {
      const state = this.parts.rollouts.find(report.service);
      if (state?.revision !== report.revision) continue;
      state.addReport(name, report);
      if (state.setPhase(report.phase)) {
        this.parts.rollouts.handlePhaseChange(state);
      }
      // A host that started after the end would else never hear of it.
      if (report.phase !== state.phase) this.publishPhase(state, [name]);
    }
  }

  /** Takes the phase that another host decided on. */
  acceptPhase({service, revision, phase}: RolloutPhaseDatagram): void {
    const state = this.parts.rollouts.find(service);
    if (state?.revision !== revision || !state.setPhase(phase)) return;
    this.parts.rollouts.handlePhaseChange(state);
  }

  /**
   * Tells hosts the phase.
   *
   * @param names The hosts; all when it is left out.
   */
  publishPhase(
    {order, revision, phase}: RolloutState,
    names?: readonly string[],
  ): void {
    const {service} = order;
    const {peers} = this.parts;
    const datagram = {kind: 'rollout-phase', service, revision, phase} as const;
    if (names === undefined) peers.sendToAll(datagram);
    else peers.sendToNames(names, datagram);
  }

  private async run(): Promise<void> {
    const {clock, log} = this.parts;
    const {signal} = this.controller;
    while (!signal.aborted && this.hasWork()) {
      try {
        await this.step();
      } catch (thrown) {
        log.writeError('A step of a roll-out failed.', {
          error: getErrorText(thrown),
        });
      }
      await clock.wait(STEP_MS, signal);
    }
  }

  /** Whether any roll-out is not over, or its end is still told. */
  private hasWork(): boolean {
    const now = this.parts.clock.getNow();
    for (const state of this.parts.rollouts.listStates()) {
      if (!state.isOver) return true;
      const overAt = this.overAt.get(state) ?? now;
      this.overAt.set(state, overAt);
      if (now - overAt < TELL_MS) return true;
    }
    return false;
  }

  private async step(): Promise<void> {
    const {rollouts, peers, decider} = this.parts;
    this.report();
    if (!peers.isFirstReader) return;
    for (const state of rollouts.listStates()) {
      await decider.step(state);
      this.publishAgain(state);
    }
  }

  private report(): void {
    const {rollouts, peers, clock, name, incarnation} = this.parts;
    const reports = [...rollouts.listStates()].map((state) =>
      state.createReport(rollouts.countOldRunning(state)),
    );
    for (const report of reports) {
      rollouts.find(report.service)?.addReport(name, report);
    }
    const now = clock.getNow();
    const everyMs = REPORT_MS + REPORT_MS_PER_HOST * peers.countServing();
    if (now - this.reportedAt < everyMs) return;
    this.reportedAt = now;
    this.sequence++;
    const {sequence} = this;
    peers.sendToReaders({
      kind: 'rollout-report',
      name,
      incarnation,
      sequence,
      reports,
    });
  }

  /** Tells the phase again, as a datagram may be lost or a host start late. */
  private publishAgain(state: RolloutState): void {
    const now = this.parts.clock.getNow();
    if (now - (this.toldAt.get(state) ?? -Infinity) < TELL_EVERY_MS) return;
    this.toldAt.set(state, now);
    this.publishPhase(state);
  }
}
