/**
 * Plays one seed: the deployment, its callers and its faults, then calm in
 * which everything has to be served again.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {SeededRandom} from '@irisdock/kernel';
import {
  SOAK_SERVICES,
  StoreStandin,
  type ServerRun,
} from '@irisdock/users-platform/fixtures';
import {CallerGroup} from './caller_group.js';
import {ConfigurationWitness} from './configuration_witness.js';
import {CRASH_PREFIX, CrashWitness} from './crash_witness.js';
import {Disturbances} from './disturbances.js';
import {
  EndpointFleet,
  USUAL_FLEET,
  type EndpointInstance,
  type FleetListener,
} from './endpoint_fleet.js';
import {EndpointSilences} from './endpoint_silences.js';
import {DOMAINS, hasRegions, REGIONS} from './failure_domains.js';
import {planFaults, type PlannedFault} from './fault_plan.js';
import {FaultPlayer} from './fault_player.js';
import {planHandovers, type HandoverEvent} from './handover_plan.js';
import {HandoverPlayer} from './handover_player.js';
import {planHarmless, type HarmlessEvent} from './harmless_plan.js';
import {HarmlessPlayer} from './harmless_player.js';
import {HostProcess} from './host_process.js';
import {LimitPlayer} from './limit_player.js';
import {LimitWitness} from './limit_witness.js';
import {LossPlayer} from './loss_player.js';
import {OverlapWitness} from './overlap_witness.js';
import {PAUSE_MS, PausePlayer} from './pause_player.js';
import {PartitionPlayer} from './partition_player.js';
import {PauseWitness} from './pause_witness.js';
import {PlatformApiPlayer} from './platform_api_player.js';
import type {PlayOptions, PlayReport} from './play_report.js';
import {waitReady} from './readiness.js';
import {planScaling, SCALED_FLEET, ScalingPlayer} from './scaling_player.js';
import {StoreDrills} from './store_drills.js';
import {Witness} from './witness.js';

const PLACES_A_SERVICE = 6;
/** All is to be served again after so long, in ms. */
const RECOVERY_MS = 6000;
/** Limits that were named are over so long before that, in ms. */
const LIMITS_OVER_MS = 2000;
/** Usage is reported right from so long after the faults on, in ms. */
const USAGE_RIGHT_MS = 3000;
const SERVICES = 2;
/** Endpoints of the service to which a route moves. */
const SPARE_PLACES = 3;
/** One play in so many has hosts that may hardly send anything again. */
const FEW_RETRIES_ONE_IN = 3;

/** One play. */
export class Play {
  readonly disturbances = new Disturbances();
  readonly witness: Witness;
  readonly store = new StoreStandin();
  readonly hosts: HostProcess[] = [];
  readonly crashes = new CrashWitness(this.disturbances);
  readonly limits = new LimitWitness(this.disturbances);
  readonly pauses = new PauseWitness(this.disturbances);
  readonly overlaps = new OverlapWitness(this.disturbances);
  readonly fleet: EndpointFleet;
  readonly losses: LossPlayer;
  /** The platform's side of scaling; absent if no service is scaled. */
  readonly scaling: ScalingPlayer | undefined;
  private readonly listener: FleetListener = {
    handleRun: (instance, run) => {
      this.witness.recordRun(instance, run);
      this.recordUsage(run);
      this.recordWork(instance, run);
      if (run.body.startsWith(CRASH_PREFIX)) this.endUnderRun(instance, run);
    },
    handleRunEnd: (instance, {attemptId}) => {
      const now = performance.now();
      this.overlaps.recordEnd(attemptId, instance, now);
      this.scaling?.witness.recordEnd(attemptId, instance.id, now);
    },
    handleAnnouncedEnd: ({id}) => {
      this.scaling?.handleAnnouncedEnd(id, this.witness);
    },
    handleFailedRun: (instance, run) => {
      this.witness.recordRun(instance, run, true);
    },
    handleAnswer: ({id}, attemptId) => {
      const host = this.witness.findHost(attemptId);
      this.limits.recordAnswer(id, host, performance.now());
    },
    handleArrival: ({id, rejectionLines}, attemptId) => {
      const host = this.witness.findHost(attemptId);
      const at = performance.now();
      this.limits.recordArrival(id, host, at);
      // Calls without an attempt, such as moves of KV caches, are not rejected.
      if (rejectionLines === undefined || attemptId === '') return;
      this.pauses.recordRejected(id, host, at, PAUSE_MS);
    },
  };
  readonly configuration: ConfigurationWitness;
  readonly platformApi: PlatformApiPlayer;
  readonly hasRegions: boolean;
  private readonly silences = new EndpointSilences();
  private readonly random: SeededRandom;
  /** For what came later; seeds stand for the play's own numbers. */
  private readonly harmlessRandom: SeededRandom;
  private readonly hasFewRetries: boolean;

  constructor(
    private readonly seed: number,
    private readonly options: PlayOptions,
    private readonly directory: string,
  ) {
    this.random = new SeededRandom(seed);
    this.harmlessRandom = new SeededRandom(seed + 2 ** 24);
    this.hasFewRetries = this.harmlessRandom.getInt(FEW_RETRIES_ONE_IN) === 0;
    this.witness = new Witness(this.disturbances, this.hasFewRetries);
    this.hasRegions = hasRegions(seed);
    const {lengthMs} = options;
    const {store, listener, disturbances} = this;
    const scaled = planScaling(seed, lengthMs, DOMAINS);
    const fleet = scaled === undefined ? USUAL_FLEET : SCALED_FLEET;
    this.fleet = new EndpointFleet(store, DOMAINS, listener, fleet);
    if (scaled !== undefined) {
      this.scaling = new ScalingPlayer(
        scaled,
        this.fleet,
        DOMAINS,
        disturbances,
      );
    }
    const lossParts = {hosts: this.hosts, fleet: this.fleet, disturbances};
    const isScaled = scaled !== undefined;
    this.losses = new LossPlayer(seed, isScaled, lossParts);
    this.platformApi = new PlatformApiPlayer(
      seed,
      lengthMs,
      disturbances,
      this.scaling,
    );
    this.configuration = new ConfigurationWitness(
      this.store,
      this.hosts,
      this.disturbances,
      this.witness,
      scaled?.scaling,
    );
  }

  /** Runs it; gives the faults that were played. */
  async run(): Promise<PlayReport['faults']> {
    await this.start();
    // Fewer faults leave calm in which bounds in time hold.
    const faults = 2 + this.random.getInt(this.options.faults - 1);
    const plan = planFaults(this.random, {...this.options, faults});
    const callers = this.createCallers();
    callers.start();
    const asking = this.configuration.run();
    const limits = this.startLimits();
    const {seed, hosts, disturbances} = this;
    const partitions = new PartitionPlayer(seed, hosts, disturbances);
    const partition = partitions.run();
    const harmless = planHarmless(this.harmlessRandom, this.options.lengthMs);
    const handovers = this.planHandovers();
    const others = [
      partition,
      this.startDrills(),
      ...this.startPauses(),
      this.startHarmless(harmless),
      this.startHandovers(handovers),
      this.platformApi.runFaults(),
      this.scaling?.runReclaims() ?? Promise.resolve(),
    ];
    await this.runFaults(plan);
    await Promise.all(others);
    const usageRightAt = Date.now() + USAGE_RIGHT_MS;
    this.platformApi.startCalm();
    const calmScaling = this.scaling?.runInCalm();
    await sleep(RECOVERY_MS - LIMITS_OVER_MS);
    limits.stop();
    await sleep(LIMITS_OVER_MS);
    await Promise.all([
      callers.checkRecovery(),
      this.drainInCalm(),
      calmScaling,
    ]);
    // A call into the partition counts as begun, as it may have run.
    const calm = {from: usageRightAt, until: Date.now()};
    await partitions.runInCalm();
    await this.losses.run();
    this.configuration.stop();
    await Promise.all([callers.stop(), asking]);
    this.witness.checkRefusals();
    const broken = [
      ...this.witness.ends.listFaults(),
      ...this.crashes.listFaults(),
      ...this.limits.listFaults(),
      ...this.pauses.listFaults(),
      ...this.overlaps.listFaults((id) => this.witness.findAttempt(id)?.host),
      ...partitions.listFaults(this.witness.ended),
      ...this.losses.listFaults(this.witness.ended),
      ...this.platformApi.listFaults(calm),
    ];
    for (const fault of broken) this.witness.addFault(fault);
    const {platformApi, scaling} = this;
    const more = [...platformApi.plan, ...(scaling?.reclaims ?? [])];
    const all = [...plan, ...harmless, ...handovers, ...more];
    return all.sort((a, b) => a.at - b.at);
  }

  private async startHarmless(plan: readonly HarmlessEvent[]): Promise<void> {
    const {hosts, fleet, configuration, silences} = this;
    const players = {hosts, fleet, configuration, silences};
    const parts = {...players, failureDomains: DOMAINS};
    await new HarmlessPlayer(parts).runAll(plan);
  }

  /** Not from the play's own numbers, which seeds stand for. */
  private planHandovers(): HandoverEvent[] {
    const random = new SeededRandom(this.seed + 2 ** 25);
    return planHandovers(random, this.options.lengthMs);
  }

  private async startHandovers(plan: readonly HandoverEvent[]): Promise<void> {
    const {fleet, silences, witness} = this;
    const {streamFaults} = witness.ends;
    const parts = {fleet, failureDomains: DOMAINS, silences, streamFaults};
    await new HandoverPlayer(parts).runAll(plan);
  }

  /** Lets endpoints of both services name limits while faults are played. */
  private startLimits(): LimitPlayer {
    const player = new LimitPlayer(this.seed, this.fleet, this.limits);
    for (let service = 0; service < SERVICES; service++) {
      void player.run(service * PLACES_A_SERVICE, PLACES_A_SERVICE);
    }
    return player;
  }

  private startDrills(): Promise<void> {
    const {store, fleet, configuration, disturbances} = this;
    const parts = {store, fleet, configuration, disturbances};
    return new StoreDrills(this.seed, parts).run();
  }

  private startPauses(): Promise<void>[] {
    const player = new PausePlayer(this.seed, this.fleet);
    const pauses: Promise<void>[] = [];
    for (let service = 0; service < SERVICES; service++) {
      pauses.push(player.run(service * PLACES_A_SERVICE, PLACES_A_SERVICE));
    }
    return pauses;
  }

  async stop(): Promise<void> {
    await Promise.all(this.hosts.map((host) => host.close()));
    this.fleet.stop();
    this.store.stop();
    this.platformApi.api.stop();
  }

  private async start(): Promise<void> {
    const door = await this.store.startListener();
    const apiAddress = await this.platformApi.api.start();
    this.configuration.commitNext();
    const services = [SOAK_SERVICES.calls, SOAK_SERVICES.streams];
    for (const [index, service] of services.entries()) {
      for (let at = 0; at < PLACES_A_SERVICE; at++) {
        await this.fleet.add(service, index * PLACES_A_SERVICE + at);
      }
    }
    this.scaling?.addFirst(PLACES_A_SERVICE, PLACES_A_SERVICE);
    const firstSpare = SERVICES * PLACES_A_SERVICE;
    for (let at = 0; at < SPARE_PLACES; at++) {
      await this.fleet.add(SOAK_SERVICES.spare, firstSpare + at);
    }
    for (let index = 0; index < this.options.hosts; index++) {
      this.hosts.push(this.createHost(index, door.address, apiAddress));
    }
    for (const host of this.hosts) await host.start();
    await Promise.all(
      this.hosts.map((host) => waitReady(host, this.directory)),
    );
  }

  private createHost(
    index: number,
    storeAddress: string,
    platformApiAddress: string,
  ): HostProcess {
    return new HostProcess({
      name: `host-${index + 1}`,
      failureDomain: DOMAINS[index % DOMAINS.length] ?? '',
      program: this.options.program,
      directory: this.directory,
      storeAddress,
      platformApiAddress,
      ...(this.hasRegions ? {regions: REGIONS} : {}),
      hasFewRetries: this.hasFewRetries,
      getSeeds: () => this.hosts.slice(0, 3).map((host) => host.seedAddress),
      handleUnexpectedExit: ({host, code, signal}) => {
        const how = `code ${code ?? 'none'}, signal ${signal ?? 'none'}`;
        this.witness.addFault(`${host} ended by itself: ${how}`);
      },
    });
  }

  private createCallers(): CallerGroup {
    const {seed, random, hosts, witness, options} = this;
    const getVersion = (): number => this.configuration.version;
    const parts = {seed, random, hosts, witness, getVersion};
    return new CallerGroup(parts, options.callers);
  }

  private endUnderRun(instance: EndpointInstance, run: ServerRun): void {
    const {body, attemptId} = run;
    const host = this.witness.findHost(attemptId);
    const at = performance.now();
    this.crashes.recordRun({body, endpoint: instance.id, host, at});
    void this.fleet.killUnderRun(instance);
  }

  private recordUsage({attemptId}: ServerRun): void {
    const attempt = this.witness.findAttempt(attemptId);
    if (attempt !== undefined) {
      this.platformApi.usage.recordRun(attempt, Date.now());
    }
  }

  /** Plain calls do not tell when they end. */
  private recordWork(instance: EndpointInstance, {attemptId}: ServerRun): void {
    if (instance.service !== SOAK_SERVICES.streams) return;
    const now = performance.now();
    this.overlaps.recordStart(attemptId, instance, now);
    this.scaling?.witness.recordStart(attemptId, instance.id, now);
  }

  private async runFaults(plan: readonly PlannedFault[]): Promise<void> {
    const player = new FaultPlayer({
      hosts: this.hosts,
      fleet: this.fleet,
      places: SERVICES * PLACES_A_SERVICE,
      domains: DOMAINS.length,
      store: this.store,
      configuration: this.configuration,
      disturbances: this.disturbances,
    });
    const startedAt = performance.now();
    const played: Promise<void>[] = [];
    for (const fault of plan) {
      await sleep(Math.max(0, startedAt + fault.at - performance.now()));
      played.push(player.run(fault));
    }
    await Promise.all(played);
  }

  /** An endpoint of each service leaves while nothing else happens. */
  private async drainInCalm(): Promise<void> {
    await Promise.all([
      this.fleet.drain(0),
      this.fleet.drain(PLACES_A_SERVICE),
    ]);
  }
}
