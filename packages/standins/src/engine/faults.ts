/** The switches by which a test makes the engine stand-in misbehave. */
import * as z from 'zod';

/** What an engine does with a new stream, though it answers probes. */
const STREAM_HANDLING = z.enum(['accept', 'cut', 'fail', 'refuse', 'reset']);
/** What an engine does with a new stream. */
export type StreamHandling = z.infer<typeof STREAM_HANDLING>;

/** All switches; each counts down as it is used up. */
export const ENGINE_FAULTS_SCHEMA = z.object({
  /** Cuts the connection after so many more tokens. */
  cutAfter: z.number().int().min(0).optional(),
  /** Sends so many of the next tokens twice. */
  repeat: z.number().int().min(0).optional(),
  /** Leaves out so many of the next tokens. */
  skip: z.number().int().min(0).optional(),
  /** Sends so many of the next tokens also under another request's name. */
  cross: z.number().int().min(0).optional(),
  /** Sends so many of the next tokens also under the generation before. */
  stale: z.number().int().min(0).optional(),
  /** Closes so many of the next answers without their end. */
  loseEnd: z.number().int().min(0).optional(),
  /** Milliseconds a step takes from now on. */
  stepMs: z.number().min(1).optional(),
  /** Makes no more tokens while true, but answers everything else. */
  stall: z.boolean().optional(),
  /** What it does with new streams from now on. */
  streams: STREAM_HANDLING.optional(),
});
type EngineFaultsChange = z.infer<typeof ENGINE_FAULTS_SCHEMA>;

/** A token as it goes over the wire. */
export interface WireToken {
  readonly request: string;
  readonly generation: number;
  readonly offset: number;
  readonly text: string;
}

/** The present faults. */
export class EngineFaults {
  stall = false;
  streams: StreamHandling = 'accept';
  private left: EngineFaultsChange = {};

  /** Sets the named switches. */
  set(change: EngineFaultsChange): void {
    this.left = {...this.left, ...change};
    this.stall = change.stall ?? this.stall;
    this.streams = change.streams ?? this.streams;
  }

  /** Gives what is sent in place of a token. */
  apply(token: WireToken): WireToken[] {
    if (this.take('skip')) return [];
    const sent = [token];
    if (this.take('repeat')) sent.push(token);
    if (this.take('cross')) {
      // Sent first, so that its number alone does not give it away.
      sent.unshift({...token, request: 'another', text: 'crossed '});
    }
    if (this.take('stale')) {
      const generation = token.generation - 1;
      sent.unshift({...token, generation, text: 'stale '});
    }
    return sent;
  }

  /** Tells whether the connection is cut after this token. */
  takeCut(): boolean {
    const left = this.left.cutAfter;
    if (left === undefined) return false;
    this.left.cutAfter = left > 1 ? left - 1 : undefined;
    return left <= 1;
  }

  /** Tells whether the end is lost. */
  takeLostEnd(): boolean {
    return this.take('loseEnd');
  }

  private take(
    name: 'cross' | 'loseEnd' | 'repeat' | 'skip' | 'stale',
  ): boolean {
    const left = this.left[name] ?? 0;
    if (left === 0) return false;
    this.left[name] = left - 1;
    return true;
  }
}
