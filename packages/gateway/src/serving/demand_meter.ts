/** Counts the load of this host by service, whether it is served or waits. */
import type {HostDemand} from '@irisdock/decisions';

/** The load of one service, but for what the endpoints' records tell. */
export type MeteredDemand = Omit<HostDemand, 'expectedTokens'>;

type MutableDemand = {-readonly [K in keyof MeteredDemand]: MeteredDemand[K]};

/** Counts the load by service. */
export class DemandMeter {
  private readonly services = new Map<string, MutableDemand>();

  /**
   * Counts a request of a service.
   *
   * @returns A function that ends the request, to be called once.
   */
  startRequest(service: string): () => void {
    const demand = this.getDemand(service);
    demand.inFlight++;
    return () => {
      demand.inFlight--;
    };
  }

  /** Counts prompt tokens that an engine reads, or that found no engine. */
  recordPrompt(service: string, tokens: number): void {
    this.getDemand(service).promptTokens += tokens;
  }

  /** Records the time in which an otherwise idle engine read a prompt. */
  recordIdleRead(service: string, tokens: number, ms: number): void {
    const demand = this.getDemand(service);
    demand.idleTokens += tokens;
    demand.idleMs += ms;
  }

  /** Returns the load of a service. */
  findDemand(service: string): MeteredDemand {
    return this.getDemand(service);
  }

  private getDemand(service: string): MutableDemand {
    let demand = this.services.get(service);
    if (demand === undefined) {
      demand = {inFlight: 0, promptTokens: 0, idleTokens: 0, idleMs: 0};
      this.services.set(service, demand);
    }
    return demand;
  }
}
