/**
 * Remembers which addresses sent answers with very many parts. What they send
 * next waits for its turn from its first byte on: the first read of an answer
 * can't be made smaller, and many answers would take much time by theirs alone.
 */
import type {Clock} from '@irisdock/kernel';

/** How long an address is remembered after such an answer, in ms. */
const REMEMBERED_MS = 10_000;

/** The addresses of one client. */
export class PacedAddresses {
  /** When each is forgotten, in the order of these times. */
  private readonly forgetAt = new Map<string, number>();

  constructor(private readonly clock: Pick<Clock, 'getNow'>) {}

  /** Records that an answer from an address had very many parts. */
  record(address: string): void {
    this.dropOld();
    this.forgetAt.delete(address);
    this.forgetAt.set(address, this.clock.getNow() + REMEMBERED_MS);
  }

  /** Whether an answer from an address had very many parts lately. */
  has(address: string): boolean {
    if (this.forgetAt.size === 0) return false;
    this.dropOld();
    return this.forgetAt.has(address);
  }

  private dropOld(): void {
    const now = this.clock.getNow();
    for (const [address, at] of this.forgetAt) {
      if (at > now) return;
      this.forgetAt.delete(address);
    }
  }
}
