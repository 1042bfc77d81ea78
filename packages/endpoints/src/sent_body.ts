/**
 * A request body that knows whether a connection has taken it. The HTTP client
 * reads a body only once it writes to a connection, so a body that was not
 * read was not sent, whatever ended the call.
 */

import type {Readable} from 'node:stream';

/** A JSON body on its way. */
export class SentBody {
  /** Whether a connection has taken the body; it may have arrived then. */
  isTaken = false;
  private readonly bytes: Buffer;

  constructor(json: string) {
    this.bytes = Buffer.from(json);
  }

  /** The headers that go with it. */
  get headers(): Readonly<Record<string, string>> {
    return {
      'content-type': 'application/json',
      'content-length': String(this.bytes.length),
    };
  }

  /**
   * Opens the body; the connection that takes it reads it. The HTTP client
   * takes any async iterable, though its types name streams only; a stream
   * would be read ahead, before its request is written.
   */
  open(): Readable {
    return this.read() as unknown as Readable;
  }

  private async *read(): AsyncGenerator<Buffer> {
    this.isTaken = true;
    yield await Promise.resolve(this.bytes);
  }
}
