/**
 * Holds streams against the promise that all events of one, over all attempts
 * of its caller, come from one software version.
 */
import {listEventVersions} from '@irisdock/users-platform/fixtures';
import type {Attempt} from './witness.js';

/** The witness. */
export class VersionWitness {
  /** The version that sent the first event, by the first attempt. */
  private readonly versions = new Map<string, string>();

  /** Finds the version that began the stream of a first attempt. */
  find(firstAttemptId: string | undefined): string | undefined {
    if (firstAttemptId === undefined) return undefined;
    return this.versions.get(firstAttemptId);
  }

  /** Takes the events of an attempt; returns the broken promise, if any. */
  recordEvents(
    {attemptId, resumes}: Pick<Attempt, 'attemptId' | 'resumes'>,
    text: string,
  ): string | undefined {
    const first = resumes ?? attemptId;
    for (const version of listEventVersions(text)) {
      const begun = this.versions.get(first) ?? version;
      this.versions.set(first, begun);
      if (version === begun) continue;
      return `${attemptId} got events of ${version}, ${first} of ${begun}`;
    }
    return undefined;
  }
}
