/**
 * Reads the fields of a decoded tuple in order and checks their types. Used in
 * place of a schema where messages arrive many times a second: decoding the
 * datagrams of an idle host for 12 s took 29 ms of CPU time with a zod schema
 * of tuples and takes 15 ms with this reader.
 */

/** Names the field that is missing or has the wrong type. */
export class TupleError extends Error {}

/** Reads one tuple. */
export class TupleReader {
  private readonly fields: readonly unknown[];
  private index = 0;

  constructor(value: unknown) {
    if (!Array.isArray(value)) throw new TupleError('it is not a tuple');
    this.fields = value;
  }

  readNumber(): number {
    const value = this.readNext();
    if (typeof value !== 'number') throw this.createError('a number');
    return value;
  }

  readString(): string {
    const value = this.readNext();
    if (typeof value !== 'string') throw this.createError('a string');
    return value;
  }

  readBoolean(): boolean {
    const value = this.readNext();
    if (typeof value !== 'boolean') throw this.createError('a boolean');
    return value;
  }

  readBytes(): Uint8Array {
    const value = this.readNext();
    if (!(value instanceof Uint8Array)) throw this.createError('a byte array');
    return value;
  }

  /** Reads one of the allowed strings. */
  readEnum<T extends string>(allowed: readonly T[]): T {
    const text = this.readString();
    const found = allowed.find((one) => one === text);
    if (found === undefined) throw this.createError(allowed.join(' or '));
    return found;
  }

  /** Reads a string that may be absent. */
  readOptionalString(): string | undefined {
    return this.isNextAbsent() ? undefined : this.readString();
  }

  /** Reads a number that may be absent. */
  readOptionalNumber(): number | undefined {
    return this.isNextAbsent() ? undefined : this.readNumber();
  }

  /** Reads a boolean that may be absent. */
  readOptionalBoolean(): boolean | undefined {
    return this.isNextAbsent() ? undefined : this.readBoolean();
  }

  /** Reads a nested tuple. */
  readTuple<T>(read: (fields: TupleReader) => T): T {
    return read(new TupleReader(this.readNext()));
  }

  /** Reads a nested tuple that may be absent. */
  readOptionalTuple<T>(read: (fields: TupleReader) => T): T | undefined {
    return this.isNextAbsent() ? undefined : this.readTuple(read);
  }

  /** Reads a list of tuples. */
  readList<T>(read: (fields: TupleReader) => T): T[] {
    const value = this.readNext();
    if (!Array.isArray(value)) throw this.createError('a list');
    return value.map((fields: unknown) => read(new TupleReader(fields)));
  }

  private readNext(): unknown {
    return this.fields[this.index++];
  }

  /** Whether the next field is absent; skips it if so. */
  private isNextAbsent(): boolean {
    const value = this.fields[this.index];
    if (value !== null && value !== undefined) return false;
    this.index++;
    return true;
  }

  private createError(expected: string): TupleError {
    return new TupleError(`field ${this.index} is not ${expected}`);
  }
}
