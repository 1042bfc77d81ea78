/**
 * Runs a host's part in rollouts: reports its counts to the hosts that decide,
 * decides itself when it is the first store reader, and applies the phases that
 * other hosts decided. It is idle without a rollout.
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
 * The time between two reports of a host, in ms, and its increase per host: the
 * two receivers get at most some 100 reports per second with any number of
 * hosts.
 */
const REPORT_INTERVAL_MS = 450;
const REPORT_INTERVAL_MS_PER_HOST = 10;
/**
 * How long, and at what interval, the end of a rollout is sent again, in ms.
 */
const END_REPEAT_MS = 10_000;
const REPEAT_MS = 1000;

/** Dependencies of the runner. */
export interface RolloutRunnerParts {
  readonly name: string;
  readonly incarnation: number;
  readonly rollouts: Rollouts;
  readonly decider: RolloutDecider;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Reports, decides and publishes phases while there are rollouts. */
export class RolloutRunner {
  private readonly controller = new AbortController();
  private running: Promise<void> | undefined;
  private sequence = 0;
  private reportedAt = -Infinity;
  private readonly publishedAt = new Map<RolloutState, number>();
  private readonly endedAt = new Map<RolloutState, number>();
  private readonly sequences = new Map<string, readonly [number, number]>();

  constructor(private readonly parts: RolloutRunnerParts) {}

  /**
   * Starts the loop if it is not running; it ends when all rollouts are over.
   */
  start(): void {
    this.running ??= this.run().finally(() => {
      this.running = undefined;
    });
  }

  async stop(): Promise<void> {
    this.controller.abort();
    await this.running;
  }

  /** Writes the status of ended rollouts again after a restore. */
  handleRestored(): void {
    this.parts.decider.dropStatuses();
    this.endedAt.clear();
    this.start();
  }

  /** Sends a report without delay after a change on this host. */
  handleChange(): void {
    this.reportedAt = -Infinity;
    this.start();
  }

  /** Handles the reports of another host. */
  acceptReport(datagram: RolloutReportDatagram): void {
    const {name, incarnation, sequence, reports} = datagram;
    const [lastIncarnation, lastSequence] = this.sequences.get(name) ?? [0, 0];
    if (incarnation === lastIncarnation && sequence <= lastSequence) return;
    this.sequences.set(name, [incarnation, sequence]);
    for (const report of reports) {
      const state = this.parts.rollouts.find(report.service);
      if (state?.revision !== report.revision) continue;
      state.addReport(name, report);
      if (state.setPhase(report.phase)) {
        this.parts.rollouts.handlePhaseChange(state);
      }
      // A host that started after the end does not learn of it otherwise.
      if (report.phase !== state.phase) this.publishPhase(state, [name]);
    }
  }

  /** Applies the phase that another host decided. */
  acceptPhase({service, revision, phase}: RolloutPhaseDatagram): void {
    const state = this.parts.rollouts.find(service);
    if (state?.revision !== revision || !state.setPhase(phase)) return;
    this.parts.rollouts.handlePhaseChange(state);
  }

  /**
   * Sends the phase to hosts.
   *
   * @param names The receivers; all hosts by default.
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
        log.writeError('A rollout step failed.', {
          error: getErrorText(thrown),
        });
      }
      await clock.wait(STEP_MS, signal);
    }
  }

  /** Whether any rollout is not over or its end is still being sent. */
  private hasWork(): boolean {
    const now = this.parts.clock.getNow();
    for (const state of this.parts.rollouts.listStates()) {
      if (!state.isOver) return true;
      const endedAt = this.endedAt.get(state) ?? now;
      this.endedAt.set(state, endedAt);
      if (now - endedAt < END_REPEAT_MS) return true;
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
    const intervalMs =
      REPORT_INTERVAL_MS + REPORT_INTERVAL_MS_PER_HOST * peers.countServing();
    if (now - this.reportedAt < intervalMs) return;
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

  /** Sends the phase again: a datagram may be lost, or a host start late. */
  private publishAgain(state: RolloutState): void {
    const now = this.parts.clock.getNow();
    if (now - (this.publishedAt.get(state) ?? -Infinity) < REPEAT_MS) return;
    this.publishedAt.set(state, now);
    this.publishPhase(state);
  }
}
