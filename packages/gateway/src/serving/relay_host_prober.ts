/**
 * Probes other hosts to which streams are relayed. A host that stands still for
 * a moment answers nothing, but its streams go on with it. So it counts as
 * answering until it has been silent for long.
 */
import type {Clock} from '@irisdock/kernel';
import type {EndpointClient} from '../channels/endpoint_client.js';
import {EndpointProber, type ProbeAnswer} from './endpoint_prober.js';
import type {EndpointRecord} from './endpoint_record.js';

/**
 * How long a host may be silent, in ms: as long as the hosts suspect one of
 * them before they consider it lost.
 */
const MAX_SILENCE_MS = 3000;

/** A time without a sign of a host. */
interface Silence {
  readonly since: number;
  /** When a probe was last not answered. */
  readonly until: number;
}

/** Probes other hosts. */
export class RelayHostProber extends EndpointProber {
  private readonly silences = new Map<string, Silence>();

  constructor(
    client: EndpointClient,
    reportPath: string,
    private readonly clock: Clock,
  ) {
    super(client, reportPath, clock);
  }

  /** Probes a host; one that has been silent for a while only answers. */
  override async probe(
    host: EndpointRecord,
    timeoutMs: number,
  ): Promise<ProbeAnswer> {
    const sentAt = this.clock.getNow();
    const answer = await super.probe(host, timeoutMs);
    if (answer === 'answers') this.recordSign(host);
    if (answer !== 'silent') return answer;
    const now = this.clock.getNow();
    const {since} = this.findSilence(host, sentAt) ?? {since: sentAt};
    this.silences.set(host.instanceId, {since, until: now});
    return now - since < MAX_SILENCE_MS ? 'answers' : 'silent';
  }

  /** Probes a host once, whatever is known of it. */
  async probeStrictly(
    host: EndpointRecord,
    timeoutMs: number,
  ): Promise<ProbeAnswer> {
    return super.probe(host, timeoutMs);
  }

  /** Records that a host sent something. */
  recordSign({instanceId}: EndpointRecord): void {
    this.silences.delete(instanceId);
  }

  /** Finds the silence that goes on; an earlier one says nothing any more. */
  private findSilence(
    {instanceId}: EndpointRecord,
    now: number,
  ): Silence | undefined {
    const silence = this.silences.get(instanceId);
    if (silence === undefined) return undefined;
    return now - silence.until < MAX_SILENCE_MS ? silence : undefined;
  }
}
