/** Values that are JSON texts. */
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';

/** Parses a text; undefined if it is not valid JSON. */
export function tryParseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Decodes a text by a schema; an error says what is wrong with it. */
export function decodeJson<T>(
  schema: z.ZodType<T>,
  text: string,
): Result<T, string> {
  const json = tryParseJson(text);
  if (json === undefined) return err('it is not valid JSON');
  const parsed = schema.safeParse(json);
  return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error));
}
