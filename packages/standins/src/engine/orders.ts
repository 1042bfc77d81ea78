/**
 * Fenced orders on the engine stand-in: load or drop a model or adapter, or
 * change role. An engine that checks refuses a fencing number below the
 * highest it has seen; one that does not check carries every order out.
 */
import * as z from 'zod';

/** An order with its fencing number. */
export const ORDER_SCHEMA = z.object({
  fence: z.number().int().min(0),
  action: z.enum([
    'load_model',
    'drop_model',
    'load_adapter',
    'drop_adapter',
    'set_role',
  ]),
  target: z.string(),
});
type Order = z.infer<typeof ORDER_SCHEMA>;

/** What the engine has loaded. */
export interface Loaded {
  readonly models: string[];
  readonly adapters: string[];
  readonly role: string;
  readonly fence: number;
}

/** Carries out orders. */
export class Orders {
  readonly history: Order[] = [];
  private readonly models: Set<string>;
  private readonly adapters = new Set<string>();
  private role = 'serve';
  private fence = 0;

  constructor(
    models: readonly string[],
    private readonly checksFence: boolean,
  ) {
    this.models = new Set(models);
  }

  /** Carries an order out; false when its fencing number is stale. */
  apply(order: Order): boolean {
    if (this.checksFence && order.fence < this.fence) return false;
    this.fence = Math.max(this.fence, order.fence);
    this.history.push(order);
    const {action, target} = order;
    if (action === 'load_model') this.models.add(target);
    if (action === 'drop_model') this.models.delete(target);
    if (action === 'load_adapter') this.adapters.add(target);
    if (action === 'drop_adapter') this.adapters.delete(target);
    if (action === 'set_role') this.role = target;
    return true;
  }

  /** Gives what is loaded now. */
  getLoaded(): Loaded {
    const {role, fence} = this;
    return {
      models: [...this.models],
      adapters: [...this.adapters],
      role,
      fence,
    };
  }
}
