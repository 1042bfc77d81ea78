/**
 * The service `configuration`: what is in force on this host. It only moves
 * forward; others feed it with changes from the table and from other hosts.
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

/** What is in force on this host. */
export class Configuration {
  /** Batches of changes as they come into force; empty after a snapshot. */
  readonly changes: Stream<readonly Change[]>;
  private readonly channel = new Channel<readonly Change[]>();
  private tableHeardAt = -Infinity;

  constructor(
    private readonly state: ConfigurationState,
    private readonly clock: Clock,
  ) {
    this.changes = this.channel.stream;
  }

  /** The revision in force; 0 for none. */
  get revision(): number {
    return this.state.revision;
  }

  /** Whether the table's configuration has arrived here at all. */
  get isLoaded(): boolean {
    return this.revision > 0 || this.tableHeardAt > -Infinity;
  }

  /** Everything in force. */
  get reader(): ConfigurationState {
    return this.state;
  }

  /** Milliseconds since the table was heard, directly or by way of others. */
  get tableAgeMs(): number {
    return this.clock.getNow() - this.tableHeardAt;
  }

  /** Notes that the table was heard so many milliseconds ago. */
  recordTableContact(ageMs: number): void {
    const at = this.clock.getNow() - ageMs;
    this.tableHeardAt = Math.max(this.tableHeardAt, at);
  }

  /** Applies changes in order; true unless one before them is missing. */
  applyChanges(changes: readonly Change[]): boolean {
    const applied: Change[] = [];
    let whole = true;
    for (const change of changes) {
      const outcome = this.state.applyChange(change);
      if (outcome === 'applied') applied.push(change);
      if (outcome !== 'gap') continue;
      whole = false;
      break;
    }
    if (applied.length > 0) this.channel.post(applied);
    return whole;
  }

  /** Takes a snapshot when it is newer. */
  applySnapshot(snapshot: Snapshot): void {
    if (this.state.applySnapshot(snapshot) === 'applied') this.channel.post([]);
  }

  /** Finds a resource's spec. */
  findSpec<K extends KindName>(kind: K, name: string): Specs[K] | undefined {
    // Only specs that passed their kind's schema come into force.
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
      help: 'The revision in force, a count of changes.',
      registers: [context.metrics],
      collect() {
        this.set(api.revision);
      },
    });
    new Gauge({
      name: 'irisdock_configuration_table_age_seconds',
      help: 'Time since the table was heard, directly or by way of others.',
      registers: [context.metrics],
      collect() {
        this.set(api.tableAgeMs / 1000);
      },
    });
    new Gauge({
      name: 'irisdock_configuration_resources',
      help: 'Resources in force, a count, by kind.',
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
