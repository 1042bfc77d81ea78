/**
 * The one shape of a service: its name, its settings as a schema, the names
 * of the services it needs, and how it is made. Services know each other by
 * name only; the kernel joins them.
 */
import type {Registry} from 'prom-client';
import type * as z from 'zod';
import type {Clock} from './clock.js';
import type {Logger} from './log.js';
import type {Random} from './random.js';

/** A service's name, typed with what the service offers to others. */
export interface ServiceKey<Api> {
  readonly name: string;
  /** Only carries the type; never set. */
  readonly api?: Api;
}

/** Builds the key of a service. */
export function createServiceKey<Api>(name: string): ServiceKey<Api> {
  return {name};
}

/** What a service gets when it is made. */
export interface ServiceContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: Registry;
  /** Finds a service that was named under `needs`. */
  find<Api>(key: ServiceKey<Api>): Api;
}

/** Settings that a service takes while it runs. */
export interface LiveSettings<Settings> {
  /** All others count at the next start only. */
  readonly keys: readonly (string & keyof Settings)[];
  /** Takes checked settings of which some live ones have changed. */
  apply(settings: Settings): void;
}

/** A service that was made. */
export interface MadeService<Api, Settings = Record<string, unknown>> {
  readonly api: Api;
  /** Absent when all its settings count at the next start only. */
  readonly live?: LiveSettings<Settings>;
  /** Opens what the service needs to run. */
  start?(): Promise<void>;
  /** Refuses new work and resolves when the work in flight has ended. */
  drain?(): Promise<void>;
  /** Closes everything the service opened. */
  stop?(): Promise<void>;
}

/** A service as its file declares it. */
export interface ServiceDefinition<Api, Schema extends z.ZodObject> {
  readonly key: ServiceKey<Api>;
  readonly settings: Schema;
  readonly needs: readonly ServiceKey<unknown>[];
  create(
    context: ServiceContext,
    settings: z.infer<Schema>,
  ): MadeService<Api, z.infer<Schema>>;
}

/** A definition with its types forgotten, as the kernel keeps it. */
export interface AnyServiceDefinition {
  readonly key: ServiceKey<unknown>;
  readonly settings: z.ZodObject;
  readonly needs: readonly ServiceKey<unknown>[];
  create(context: ServiceContext, settings: unknown): MadeService<unknown>;
}

/** Declares a service; every service file calls this once. */
export function createService<Api, Schema extends z.ZodObject>(
  definition: ServiceDefinition<Api, Schema>,
): AnyServiceDefinition & {readonly key: ServiceKey<Api>} {
  return {
    ...definition,
    // The kernel hands over what parseSettings made of this very schema.
    create: (context, settings) =>
      definition.create(
        context,
        settings as z.infer<Schema>,
      ) as MadeService<Api>,
  };
}
