/**
 * The micro-kernel: keeps services by name, makes and starts each after the
 * ones it needs, and stops them in the opposite order. It knows nothing of
 * what the services do.
 */
import type {Registry} from 'prom-client';
import type {Clock} from './clock.js';
import type {Logger} from './log.js';
import type {Random} from './random.js';
import type {
  AnyServiceDefinition,
  MadeService,
  ServiceContext,
  ServiceKey,
} from './service.js';

/** What the kernel hands to every service. */
export interface KernelTools {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: Registry;
}

/** What became of changed settings, each as `[group] key`. */
export interface SettingsChange {
  readonly inForce: readonly string[];
  readonly atNextStart: readonly string[];
}

type GroupValues = Readonly<Record<string, unknown>>;

/** A set of services that run together. */
export class Kernel {
  private settings: ReadonlyMap<string, unknown> = new Map();
  private readonly made = new Map<string, MadeService<unknown>>();
  private readonly started: MadeService<unknown>[] = [];

  constructor(
    private readonly definitions: readonly AnyServiceDefinition[],
    private readonly tools: KernelTools,
  ) {}

  /**
   * Makes and starts all services. When one does not start, those that did
   * are stopped again, so that nothing goes on behind the error.
   *
   * @param settings Checked settings by service name.
   * @throws Error when a needed service is missing or needs form a circle.
   */
  async start(settings: ReadonlyMap<string, unknown>): Promise<void> {
    this.settings = settings;
    try {
      await this.startAll(settings);
    } catch (thrown) {
      await this.stopStarted();
      throw thrown;
    }
  }

  private async startAll(
    settings: ReadonlyMap<string, unknown>,
  ): Promise<void> {
    for (const definition of sortByNeeds(this.definitions)) {
      const {name} = definition.key;
      const service = definition.create(
        this.createContext(definition),
        settings.get(name) ?? {},
      );
      this.made.set(name, service);
      this.started.push(service);
      await service.start?.();
    }
  }

  /** Gives changed settings to the services that take them while they run. */
  applySettings(settings: ReadonlyMap<string, unknown>): SettingsChange {
    const inForce: string[] = [];
    const atNextStart: string[] = [];
    for (const [group, next] of settings) {
      const changed = listChanged(this.settings.get(group), next);
      const live = this.made.get(group)?.live;
      const taken = changed.filter((key) => live?.keys.includes(key) === true);
      if (taken.length > 0) live?.apply(next as GroupValues);
      for (const key of changed) {
        const names = taken.includes(key) ? inForce : atNextStart;
        names.push(`[${group}] ${key}`);
      }
    }
    this.settings = settings;
    return {inForce, atNextStart};
  }

  /** Drains, then stops, all services, the last started first. */
  async stop(): Promise<void> {
    for (const service of [...this.started].reverse()) {
      await service.drain?.();
    }
    await this.stopStarted();
  }

  private async stopStarted(): Promise<void> {
    for (const service of this.started.splice(0).reverse()) {
      await service.stop?.();
    }
  }

  /** Finds what a service offers. */
  find<Api>(key: ServiceKey<Api>): Api {
    const service = this.made.get(key.name);
    if (service === undefined) {
      throw new Error(`No service ${key.name}. Add its definition.`);
    }
    return service.api as Api;
  }

  private createContext(definition: AnyServiceDefinition): ServiceContext {
    const needs = new Set(definition.needs.map((need) => need.name));
    return {
      ...this.tools,
      log: this.tools.log.createPart(definition.key.name),
      find: (key) => {
        if (needs.has(key.name)) return this.find(key);
        throw new Error(
          `${definition.key.name} asked for ${key.name}. Add it to needs.`,
        );
      },
    };
  }
}

/** Lists the keys of a group whose values differ. */
function listChanged(before: unknown, next: unknown): string[] {
  const old = (before ?? {}) as GroupValues;
  const changed: string[] = [];
  for (const [key, value] of Object.entries(next as GroupValues)) {
    if (JSON.stringify(old[key]) !== JSON.stringify(value)) changed.push(key);
  }
  return changed;
}

/** Gives the definitions in an order in which each follows what it needs. */
export function sortByNeeds(
  definitions: readonly AnyServiceDefinition[],
): AnyServiceDefinition[] {
  const sorted: AnyServiceDefinition[] = [];
  const open = new Set<string>();
  const byName = new Map(definitions.map((d) => [d.key.name, d]));
  const addOne = (name: string, neededBy: string): void => {
    const definition = byName.get(name);
    if (definition === undefined) {
      throw new Error(`${neededBy} needs ${name}. Add its definition.`);
    }
    if (sorted.includes(definition)) return;
    if (open.has(name)) {
      throw new Error(`${name} needs itself by way of ${neededBy}.`);
    }
    open.add(name);
    for (const need of definition.needs) addOne(need.name, name);
    sorted.push(definition);
  };
  for (const definition of definitions) {
    addOne(definition.key.name, 'the process');
  }
  return sorted;
}
