/**
 * What was disturbed when. Promises with a time bound hold only for hosts
 * that were left alone for a while, so the witness asks here.
 */

/** What a fault touches. */
export type DisturbedPart =
  'callers' | 'endpoint paths' | 'endpoints' | 'hosts' | 'store';

/** One disturbance; `until` is open while it lasts. */
export interface Disturbance {
  readonly part: DisturbedPart;
  /** The host that it touches; absent when it touches all. */
  readonly host?: string;
  /** Whether it is a planned stop, under which nothing may be cut. */
  readonly isPlanned: boolean;
  readonly from: number;
  until: number | undefined;
}

/** The disturbances of one play. */
export class Disturbances {
  private readonly list: Disturbance[] = [];

  /** Begins one; it lasts until it is ended. */
  start(
    part: DisturbedPart,
    at: number,
    options: {readonly host?: string; readonly isPlanned?: boolean} = {},
  ): Disturbance {
    const disturbance: Disturbance = {
      part,
      ...(options.host === undefined ? {} : {host: options.host}),
      isPlanned: options.isPlanned === true,
      from: at,
      until: undefined,
    };
    this.list.push(disturbance);
    return disturbance;
  }

  /** Lists those that touched a host between two moments. */
  listBetween(host: string, from: number, until: number): Disturbance[] {
    return this.list.filter((one) => {
      if (one.host !== undefined && one.host !== host) return false;
      return one.from <= until && (one.until ?? Infinity) >= from;
    });
  }

  /** Tells whether nothing at all was disturbed between two moments. */
  isCalm(from: number, until: number): boolean {
    return this.list.every(
      (one) => one.from > until || (one.until ?? Infinity) < from,
    );
  }
}
