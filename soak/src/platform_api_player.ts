/**
 * The platform's API of a play: a stand-in that fails as drawn from the play's
 * seed, and the witnesses of the calls that arrive there.
 */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {SeededRandom} from '@irisdock/kernel';
import {
  API_FAULTS,
  PlatformApiStandin,
  type ApiFault,
} from '@irisdock/users-platform/fixtures';
import type {Disturbances} from './disturbances.js';
import type {ScalingPlayer} from './scaling_player.js';
import {TaskCallWitness} from './task_call_witness.js';
import {UsageWitness, type CheckedSpan} from './usage_witness.js';

/** One fault of the API. */
export interface ApiFaultEvent {
  readonly kind: `platform API ${ApiFault}`;
  readonly fault: ApiFault;
  /** From the start of the play, in ms. */
  readonly at: number;
  readonly forMs: number;
}

const MOST_FAULTS = 4;
const LEAST_MS = 200;
const MOST_MS = 3500;
const NANOSECONDS_PER_MS = 1_000_000;
/** A request passes the soak twice: the link to its endpoint, and the endpoint. */
const PASSES = 2;

/** The API of a play. */
export class PlatformApiPlayer {
  readonly usage = new UsageWitness();
  readonly plan: readonly ApiFaultEvent[];
  /** Calls that arrived. */
  calls = 0;
  /** Windows whose counts were checked. */
  checkedWindows = 0;
  private readonly taskCalls: TaskCallWitness;
  /** How long the soak stood still in calm. */
  private readonly calmStalls = monitorEventLoopDelay();
  readonly api = new PlatformApiStandin(
    (call) => {
      this.calls++;
      this.taskCalls.recordCall(call, performance.now());
      this.usage.recordCall(call);
      if (this.scaling !== undefined) this.scaling.handleCall(call);
      else if (call.order !== undefined) this.unwanted.push(call.subject);
    },
    (order) => this.scaling?.hasCapacity(order) ?? true,
  );
  /** Orders that came though no service is scaled. */
  private readonly unwanted: string[] = [];

  /** @param scaling Carries orders out; absent if no service is scaled. */
  constructor(
    seed: number,
    lengthMs: number,
    disturbances: Disturbances,
    private readonly scaling?: ScalingPlayer,
  ) {
    this.taskCalls = new TaskCallWitness(disturbances);
    // Not from the play's own numbers, which seeds stand for.
    this.plan = planApiFaults(new SeededRandom(seed + 2 ** 26), lengthMs);
  }

  /** Carries out the faults; the first end ends those that overlap. */
  async runFaults(): Promise<void> {
    await Promise.all(
      this.plan.map(async ({fault, at, forMs}) => {
        await sleep(at);
        this.api.fault = fault;
        await sleep(forMs);
        this.api.fault = undefined;
      }),
    );
  }

  /** Takes it that windows are checked from now on. */
  startCalm(): void {
    this.calmStalls.enable();
  }

  /** Lists what was broken; counts are checked of windows within a time. */
  listFaults(calm: CheckedSpan): string[] {
    const checked = this.usage.listChecked(calm, Date.now());
    this.checkedWindows = checked.length;
    this.calmStalls.disable();
    const edgeMs = (PASSES * this.calmStalls.max) / NANOSECONDS_PER_MS;
    return [
      ...this.taskCalls.faults,
      ...this.usage.listFaults(checked, edgeMs),
      ...(this.scaling?.witness.faults ?? []),
      ...this.unwanted.map((subject) => `${subject}: an order was sent`),
    ];
  }
}

/** Draws the faults of the API over some time. */
function planApiFaults(
  random: SeededRandom,
  lengthMs: number,
): ApiFaultEvent[] {
  const count = 1 + random.getInt(MOST_FAULTS);
  return Array.from({length: count}, () => {
    const fault = API_FAULTS[random.getInt(API_FAULTS.length)] ?? 'silent';
    const at = random.getInt(lengthMs);
    const forMs = LEAST_MS + random.getInt(MOST_MS - LEAST_MS);
    return {kind: `platform API ${fault}`, fault, at, forMs};
  });
}
