/**
 * The service `configuration`: the routes, services, teams and limits in force
 * on this host. A process never goes back to an earlier version.
 */
import {RouteTable, type ReplicaRow} from '@irisdock/decisions';
import {
  Channel,
  createService,
  createServiceKey,
  isHeaderText,
  type Logger,
} from '@irisdock/kernel';
import {Gauge} from 'prom-client';
import * as z from 'zod';
import type {
  CallerLimits,
  ServingConfiguration,
  ServingRoute,
  ServingService,
} from '../model/serving_configuration.js';
import {formatStreamRouting} from '../model/stream_routing.js';
import type {RowCodec} from '../model/table_store.js';
import {CODECS} from './store.js';
import {TABLES_KEY} from '../tables/tables.js';

/** The row that holds the configuration. */
export const CONFIGURATION_ROW = 'config';

/** The limits on callers before the first configuration. */
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};

/** The most names of teams in one log line. */
const MAX_LOGGED_TEAMS = 10;

/** The result of finding the team of an API key. */
export type TeamLookup =
  | {readonly kind: 'known'; readonly team: string}
  /** No header can give the name of the team to an endpoint. */
  | {readonly kind: 'unusable'; readonly team: string}
  | {readonly kind: 'none-needed'}
  | {readonly kind: 'unknown'};

/** Holds the configuration in force. */
export class GatewayConfiguration {
  private readonly changeChannel = new Channel<undefined>();
  /** Emits each time after a newer version has been put in force. */
  readonly changes = this.changeChannel.stream;
  private current: ServingConfiguration | undefined;
  private routing: string | undefined;
  private routes = new RouteTable<ServingRoute>([]);
  private services = new Map<string, ServingService>();
  private teamsByKey: Map<string, string> | undefined;
  private unusable: ReadonlySet<string> = new Set();

  constructor(
    private readonly codec: RowCodec<ServingConfiguration>,
    private readonly log: Logger,
  ) {}

  /** Whether any configuration is loaded. */
  get isLoaded(): boolean {
    return this.current !== undefined;
  }

  /** The version in force; 0 before the first configuration. */
  get version(): number {
    return this.current?.version ?? 0;
  }

  /**
   * Identifies which streams go to which services; empty without routes of
   * streams, undefined before the first configuration.
   */
  get streamRouting(): string | undefined {
    return this.routing;
  }

  /** The names of teams that no header can give to an endpoint. */
  get unusableTeams(): ReadonlySet<string> {
    return this.unusable;
  }

  get limits(): CallerLimits {
    return this.current?.limits ?? DEFAULT_LIMITS;
  }

  /** Applies changed rows of the table. */
  applyRows(rows: readonly ReplicaRow[]): void {
    for (const {key, value} of rows) {
      if (key !== CONFIGURATION_ROW) continue;
      if (value !== undefined) this.applyText(value);
      else this.log.writeWarning('Configuration row deleted; ignored.', {});
    }
  }

  /** Finds the route of a request. */
  findRoute(hostHeader: string, path: string): ServingRoute | undefined {
    return this.routes.find(hostHeader, path);
  }

  /** Finds a service. */
  findService(name: string): ServingService | undefined {
    return this.services.get(name);
  }

  /** Whether a service is declared or any route leads to it. */
  hasService(name: string): boolean {
    if (this.services.has(name)) return true;
    for (const {shares} of this.current?.routes ?? []) {
      if (shares.some(({service}) => service === name)) return true;
    }
    return false;
  }

  /** Lists the names of the services that have engines. */
  listEngineServices(): string[] {
    const names: string[] = [];
    for (const {name, engine} of this.services.values()) {
      if (engine !== undefined) names.push(name);
    }
    return names;
  }

  /** Lists the services that may be scaled. */
  listScaledServices(): ServingService[] {
    const services = [...this.services.values()];
    return services.filter(({scaling}) => scaling !== undefined);
  }

  /** Finds the team of a key; public routes need none. */
  findTeam(key: string | undefined, route: ServingRoute): TeamLookup {
    if (this.teamsByKey === undefined) return {kind: 'none-needed'};
    const team = key === undefined ? undefined : this.teamsByKey.get(key);
    if (team !== undefined) {
      return {kind: this.unusable.has(team) ? 'unusable' : 'known', team};
    }
    return {kind: route.isPublic ? 'none-needed' : 'unknown'};
  }

  private applyText(text: string): void {
    const decoded = this.codec.decode(CONFIGURATION_ROW, text);
    if (decoded.isErr()) {
      this.log.writeError(
        'Failed to decode a configuration; the last one stays in force.',
        {
          fault: decoded.error,
          version: this.version,
        },
      );
      return;
    }
    const next = decoded.value;
    if (next.version <= this.version) return;
    this.log.writeInfo('Configuration applied.', {
      version: next.version,
      before: this.version,
      routes: next.routes.length,
    });
    this.current = next;
    this.routing = formatStreamRouting(next.routes);
    this.routes = new RouteTable(next.routes);
    this.services = new Map(
      next.services.map((service) => [service.name, service]),
    );
    this.applyTeams(next);
    this.changeChannel.post(undefined);
  }

  private applyTeams({teams, version}: ServingConfiguration): void {
    this.teamsByKey = teams === undefined ? undefined : createTeamsByKey(teams);
    this.unusable = findUnusableTeams(teams ?? []);
    if (this.unusable.size === 0) return;
    const names = JSON.stringify([...this.unusable].slice(0, MAX_LOGGED_TEAMS));
    this.log.writeError(
      'The requests of some teams are refused: no header can give their names to an endpoint.',
      {version, teams: this.unusable.size, names},
    );
  }
}

function createTeamsByKey(
  teams: NonNullable<ServingConfiguration['teams']>,
): Map<string, string> {
  const teamsByKey = new Map<string, string>();
  for (const {name, keys} of teams) {
    for (const key of keys) teamsByKey.set(key, name);
  }
  return teamsByKey;
}

function findUnusableTeams(
  teams: NonNullable<ServingConfiguration['teams']>,
): Set<string> {
  const names = teams.map(({name}) => name);
  return new Set(names.filter((name) => !isHeaderText(name)));
}

/** The key of the service. */
export const GATEWAY_CONFIGURATION =
  createServiceKey<GatewayConfiguration>('configuration');

/** Declares the service. */
export const GATEWAY_CONFIGURATION_SERVICE = createService({
  key: GATEWAY_CONFIGURATION,
  settings: z.object({}),
  needs: [CODECS, TABLES_KEY],
  create(context) {
    const {configuration: codec} = context.find(CODECS);
    const api = new GatewayConfiguration(codec, context.log);
    const {configuration: table} = context.find(TABLES_KEY);
    api.applyRows(table.replica.listAll());
    void table.changes.observe((rows) => {
      api.applyRows(rows);
    });
    new Gauge({
      name: 'irisdock_gateway_configuration_version',
      help: 'The version of the configuration in force, a number.',
      registers: [context.metrics],
      collect() {
        this.set(api.version);
      },
    });
    new Gauge({
      name: 'irisdock_gateway_unusable_teams',
      help: 'Teams whose requests are refused as no header can give their names to an endpoint, a number.',
      registers: [context.metrics],
      collect() {
        this.set(api.unusableTeams.size);
      },
    });
    return {api};
  },
});
