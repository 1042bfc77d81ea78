/**
 * The service `configuration`: the configuration that is active on this host.
 * Its revision never decreases. Other services apply the changes that they
 * receive from the table and from other hosts.
 */
import {
  Channel,
  createService,
  createServiceKey,
  type Clock,
} from '@irisdock/kernel';
import {ConfigurationState} from '@irisdock/decisions';
import {
  KINDS,
  type AdapterSpec,
  type Change,
  type KindName,
  type ModelVersionSpec,
  type PlacementRuleSpec,
  type Resource,
  type ServiceSpec,
  type Snapshot,
  type TeamPrioritySpec,
  type TeamSpec,
} from '@irisdock/resources';
import {Gauge} from 'prom-client';
import type {Stream} from 'most';
import * as z from 'zod';

interface Specs {
  readonly service: ServiceSpec;
  readonly modelVersion: ModelVersionSpec;
  readonly adapter: AdapterSpec;
  readonly team: TeamSpec;
  readonly teamPriority: TeamPrioritySpec;
  readonly placementRule: PlacementRuleSpec;
}

/** The configuration that is active on this host. */
export class Configuration {
  /** Batches of applied changes; an empty batch follows a snapshot. */
  readonly changes: Stream<readonly Change[]>;
  private readonly channel = new Channel<readonly Change[]>();
  private tableContactAt = -Infinity;

  constructor(
    private readonly state: ConfigurationState,
    private readonly clock: Clock,
  ) {
    this.changes = this.channel.stream;
  }

  /** The active revision; 0 for none. */
  get revision(): number {
    return this.state.revision;
  }

  /** Whether any configuration has been received from the table. */
  get isLoaded(): boolean {
    return this.revision > 0 || this.tableContactAt > -Infinity;
  }

  /** The complete active configuration. */
  get activeState(): ConfigurationState {
    return this.state;
  }

  /** Milliseconds since the last table contact, direct or via another host. */
  get tableAgeMs(): number {
    return this.clock.getNow() - this.tableContactAt;
  }

  /** Records that the table was read `ageMs` milliseconds ago. */
  recordTableContact(ageMs: number): void {
    const at = this.clock.getNow() - ageMs;
    this.tableContactAt = Math.max(this.tableContactAt, at);
  }

  /** Applies changes in order; returns false if a revision is missing. */
  applyChanges(changes: readonly Change[]): boolean {
    const applied: Change[] = [];
    let hasNoGap = true;
    for (const change of changes) {
      const outcome = this.state.applyChange(change);
      if (outcome === 'applied') applied.push(change);
      if (outcome !== 'gap') continue;
      hasNoGap = false;
      break;
    }
    if (applied.length > 0) this.channel.post(applied);
    return hasNoGap;
  }

  /** Applies a snapshot if it is newer than the active revision. */
  applySnapshot(snapshot: Snapshot): void {
    if (this.state.applySnapshot(snapshot) === 'applied') this.channel.post([]);
  }

  /** Returns the spec of a resource; undefined if it does not exist. */
  findSpec<K extends KindName>(kind: K, name: string): Specs[K] | undefined {
    // Specs are validated against the schema of their kind when they are put.
    return this.state.get(kind, name)?.spec as Specs[K] | undefined;
  }

  /** Lists the resources of a kind. */
  listKind(kind: KindName): Resource[] {
    return [...this.state.list()].filter((r) => r.kind === kind);
  }

  /** Lists the specs of a kind. */
  listSpecs<K extends KindName>(kind: K): Specs[K][] {
    return this.listKind(kind).map((r) => r.spec as Specs[K]);
  }
}

/** The key of the service. */
export const CONFIGURATION = createServiceKey<Configuration>('configuration');

const SETTINGS = z.object({
  maxLog: z.coerce.number().int().min(10).default(10_000).meta({
    unit: 'changes',
    description: 'Changes kept in memory for watches and other hosts.',
  }),
});

/** Declares the service. */
export const CONFIGURATION_SERVICE = createService({
  key: CONFIGURATION,
  settings: SETTINGS,
  needs: [],
  create(context, settings) {
    const state = new ConfigurationState(settings.maxLog);
    const api = new Configuration(state, context.clock);
    new Gauge({
      name: 'irisdock_configuration_revision',
      help: 'The active configuration revision, a count of changes.',
      registers: [context.metrics],
      collect() {
        this.set(api.revision);
      },
    });
    new Gauge({
      name: 'irisdock_configuration_table_age_seconds',
      help: 'Time since the last table contact, direct or via another host.',
      registers: [context.metrics],
      collect() {
        this.set(api.tableAgeMs / 1000);
      },
    });
    new Gauge({
      name: 'irisdock_configuration_resources',
      help: 'Active resources, a count, by kind.',
      labelNames: ['kind'],
      registers: [context.metrics],
      collect() {
        for (const kind of Object.keys(KINDS) as KindName[]) {
          this.set({kind}, api.listKind(kind).length);
        }
      },
    });
    return {api};
  },
});
