/** Lets endpoints of a play be silent, each for no longer than it may be. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Silence} from '@irisdock/users-platform/fixtures';
import type {EndpointInstance} from './endpoint_fleet.js';

/** What a silent endpoint still does. */
export const SILENCE_KINDS = [
  /** It reads and writes nothing. */
  'frozen',
  /** It answers probes, its streams pause. */
  'paused',
] as const;
export type SilenceKind = (typeof SILENCE_KINDS)[number];

/** Between two silences an endpoint goes on for so long at least, in ms. */
const AUDIBLE_MS = 500;

/** The silences. */
export class EndpointSilences {
  /** When the silences of endpoints end, by their ids. */
  private readonly silentUntil = new Map<string, number>();

  /** Silences those endpoints for which one is due; resolves when they go on. */
  async run(
    instances: readonly EndpointInstance[],
    kind: SilenceKind,
    forMs: number,
  ): Promise<void> {
    const begun: [EndpointInstance, Silence][] = [];
    for (const instance of instances) {
      const {server, streamPause} = instance;
      const silence = kind === 'frozen' ? server.silence : streamPause;
      if (!this.isSilenceDue(instance, kind) || !silence.start()) continue;
      this.silentUntil.set(instance.id, performance.now() + forMs);
      if (kind === 'frozen') instance.deafUntil = Infinity;
      begun.push([instance, silence]);
    }
    await sleep(forMs);
    for (const [instance, silence] of begun) {
      silence.end();
      if (kind === 'frozen') instance.deafUntil = performance.now();
    }
  }

  private isSilenceDue(
    {id, limitLines}: EndpointInstance,
    kind: SilenceKind,
  ): boolean {
    // What a frozen one reads at its end would be counted as sent at once.
    if (kind === 'frozen' && limitLines.length > 0) return false;
    const lastEnd = this.silentUntil.get(id) ?? -Infinity;
    return performance.now() >= lastEnd + AUDIBLE_MS;
  }
}
