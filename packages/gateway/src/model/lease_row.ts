/** The lease row of a task in the store, and the errors of leases. */
import type {LeaseRow} from '@irisdock/decisions';
import {createErrorTable} from '@irisdock/kernel';
import type {Result} from 'neverthrow';
import * as z from 'zod';
import {decodeJson} from './json_value.js';
import type {StoreError} from './table_store.js';

const LEASE_ROW_SCHEMA = z.object({
  holder: z.string(),
  fence: z.number().int(),
  renewal: z.number().int(),
  leaseMs: z.number().int().positive().optional(),
});

const LEASE_ERRORS = createErrorTable({
  store_conflict: {
    status: 409,
    outcome: 'not-run',
    message: 'The lease of the task was lost.',
    remedy: 'The host that holds it now goes on.',
  },
  store_unreadable: {
    status: 502,
    outcome: 'not-run',
    message: 'The lease row of the task is not readable: {detail}.',
    remedy: 'Correct or delete the row.',
  },
});

/** Creates the error of a write under a lease that was lost. */
export function createLostError(): StoreError {
  return LEASE_ERRORS.create('store_conflict');
}

/** Decodes the value of a lease row. */
export function parseLease(value: string): Result<LeaseRow, StoreError> {
  return decodeJson(LEASE_ROW_SCHEMA, value).mapErr((detail) =>
    LEASE_ERRORS.create('store_unreadable', {detail}),
  );
}
