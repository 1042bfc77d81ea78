/**
 * Typed errors. Each package keeps its error kinds in one table; every kind
 * has a message that says what happened and a remedy that says what to do.
 * Errors are values: functions return them through neverthrow's `Result`.
 */

/**
 * What is known of a request that failed: `not-run` means that it is safe to
 * send again, `unknown` that it may have run, `run` that it did.
 */
export type Outcome = 'not-run' | 'run' | 'unknown';

/** One row of an error table. `{name}` in a text is filled from the data. */
export interface ErrorKind {
  readonly status: number;
  readonly outcome: Outcome;
  readonly message: string;
  readonly remedy: string;
}

/** The values that fill an error's texts. */
export type ErrorData = Readonly<Record<string, boolean | number | string>>;

/** An error of a known kind. */
export interface KnownError<K extends string = string> {
  readonly kind: K;
  readonly status: number;
  readonly outcome: Outcome;
  readonly message: string;
  readonly remedy: string;
  /** Seconds after which sending again makes sense; absent when it never does. */
  readonly retryAfterSeconds?: number;
}

/** A package's errors: its table and the one way to make them. */
export interface ErrorTable<K extends string> {
  readonly kinds: Readonly<Record<K, ErrorKind>>;
  create(kind: K, data?: ErrorData, retryAfterSeconds?: number): KnownError<K>;
}

/** Builds a package's error table. */
export function createErrorTable<K extends string>(
  kinds: Readonly<Record<K, ErrorKind>>,
): ErrorTable<K> {
  return {
    kinds,
    create(kind, data = {}, retryAfterSeconds): KnownError<K> {
      const row = kinds[kind];
      return {
        kind,
        status: row.status,
        outcome: row.outcome,
        message: formatText(row.message, data),
        remedy: formatText(row.remedy, data),
        ...(retryAfterSeconds === undefined ? {} : {retryAfterSeconds}),
      };
    },
  };
}

/** Gives the text of anything thrown. */
export function getErrorText(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}

function formatText(text: string, data: ErrorData): string {
  return text.replace(/\{(\w+)\}/g, (whole, name: string) =>
    String(data[name] ?? whole),
  );
}
