/** Schemas of words and options that several commands take. */
import {KIND_NAMES} from '@irisdock/resources';
import * as z from 'zod';

/** A resource kind. */
export const KIND_SCHEMA = z.enum(
  KIND_NAMES,
  `give a kind, one of: ${KIND_NAMES.join(', ')}`,
);

/** A whole number from 0. */
export const COUNT_SCHEMA = z
  .string()
  .regex(/^\d{1,15}$/, 'give a whole number')
  .transform(Number);
