/**
 * The requests that endpoints began for one host, by window and team, and which
 * of these counts the host must still send. Counts are cumulative, so that a
 * repeated or overtaken datagram does no harm, and a lost one is made up for by
 * the next one or by those after the end of the window.
 */

/** Counts of begun requests, by team. */
export type TeamCounts = Readonly<Record<string, number>>;

/** The cumulative count of a team in a window. */
export interface WindowCount {
  readonly window: number;
  readonly team: string;
  readonly count: number;
}

/** How often the counts of an ended window are sent, as datagrams are lost. */
const FINAL_SENDS = 2;

interface Entry {
  readonly window: number;
  readonly team: string;
  count: number;
  sendsLeft: number;
}

/** The counts of one host. */
export class UsageCounts {
  private readonly windows = new Map<number, Map<string, Entry>>();
  /** The windows before this one have ended. */
  private endedBefore = -Infinity;

  /** Counts one request. */
  add(window: number, team: string): void {
    let teams = this.windows.get(window);
    if (teams === undefined) {
      teams = new Map();
      this.windows.set(window, teams);
    }
    let entry = teams.get(team);
    if (entry === undefined) {
      entry = {window, team, count: 0, sendsLeft: 0};
      teams.set(team, entry);
    }
    entry.count++;
    const sends = window < this.endedBefore ? FINAL_SENDS : 1;
    entry.sendsLeft = Math.max(entry.sendsLeft, sends);
  }

  /** Makes all counts of a window that has ended due again. */
  markEnded(window: number): void {
    this.endedBefore = Math.max(this.endedBefore, window + 1);
    for (const entry of this.windows.get(window)?.values() ?? []) {
      entry.sendsLeft = FINAL_SENDS;
    }
  }

  /** Takes the counts that are due for sending. */
  takeDue(): WindowCount[] {
    const due: WindowCount[] = [];
    for (const entry of this.listEntries()) {
      if (entry.sendsLeft === 0) continue;
      entry.sendsLeft--;
      due.push(createCount(entry));
    }
    return due;
  }

  /** Lists the counts of a window and all later ones. */
  listFrom(window: number): WindowCount[] {
    return this.listEntries()
      .filter((entry) => entry.window >= window)
      .map(createCount);
  }

  /** Drops the windows before one. */
  dropBefore(window: number): void {
    for (const one of this.windows.keys()) {
      if (one < window) this.windows.delete(one);
    }
  }

  private listEntries(): Entry[] {
    return [...this.windows.values()].flatMap((teams) => [...teams.values()]);
  }
}

function createCount({window, team, count}: Entry): WindowCount {
  return {window, team, count};
}
