/** Values of rows that are JSON texts. */
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';

/** Decodes a text by a schema; an error says what is wrong with it. */
export function decodeJson<T>(
  schema: z.ZodType<T>,
  text: string,
): Result<T, string> {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch {
    return err('it is not valid JSON');
  }
  const parsed = schema.safeParse(json);
  return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error));
}
