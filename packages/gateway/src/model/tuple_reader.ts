/**
 * Reads the fields of a decoded tuple in order and checks their types. It
 * stands in for a schema where messages are read many times a second: reading
 * the datagrams of a host at rest takes half the time that it takes with a zod
 * schema of tuples (15 and 29 ms in a processor profile of 12 s).
 */

/** Says which field is not what it should be. */
export class TupleError extends Error {}

/** Reads one tuple. */
export class TupleReader {
  private readonly fields: readonly unknown[];
  private at = 0;

  constructor(value: unknown) {
    if (!Array.isArray(value)) throw new TupleError('it is no tuple');
    this.fields = value;
  }

  readNumber(): number {
    const value = this.readNext();
    if (typeof value !== 'number') throw this.createFault('number');
    return value;
  }

  readString(): string {
    const value = this.readNext();
    if (typeof value !== 'string') throw this.createFault('text');
    return value;
  }

  readBoolean(): boolean {
    const value = this.readNext();
    if (typeof value !== 'boolean') throw this.createFault('yes or no');
    return value;
  }

  readBytes(): Uint8Array {
    const value = this.readNext();
    if (!(value instanceof Uint8Array)) throw this.createFault('bytes');
    return value;
  }

  /** Reads one of the given texts. */
  readEnum<T extends string>(allowed: readonly T[]): T {
    const text = this.readString();
    const found = allowed.find((one) => one === text);
    if (found === undefined) throw this.createFault(allowed.join(' or '));
    return found;
  }

  /** Reads a text that may be absent. */
  readOptionalString(): string | undefined {
    return this.isNextAbsent() ? undefined : this.readString();
  }

  /** Reads a number that may be absent. */
  readOptionalNumber(): number | undefined {
    return this.isNextAbsent() ? undefined : this.readNumber();
  }

  /** Reads a tuple within this one. */
  readTuple<T>(read: (fields: TupleReader) => T): T {
    return read(new TupleReader(this.readNext()));
  }

  /** Reads a tuple that may be absent. */
  readOptionalTuple<T>(read: (fields: TupleReader) => T): T | undefined {
    return this.isNextAbsent() ? undefined : this.readTuple(read);
  }

  /** Reads a list of tuples. */
  readList<T>(read: (fields: TupleReader) => T): T[] {
    const value = this.readNext();
    if (!Array.isArray(value)) throw this.createFault('list');
    return value.map((fields: unknown) => read(new TupleReader(fields)));
  }

  private readNext(): unknown {
    return this.fields[this.at++];
  }

  /** Whether the next field is absent; passes over it when it is. */
  private isNextAbsent(): boolean {
    const value = this.fields[this.at];
    if (value !== null && value !== undefined) return false;
    this.at++;
    return true;
  }

  private createFault(wanted: string): TupleError {
    return new TupleError(`field ${this.at} is no ${wanted}`);
  }
}
