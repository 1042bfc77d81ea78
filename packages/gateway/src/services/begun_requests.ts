/** The service `begunRequests`: tells which requests endpoints begin. */
import {createService, createServiceKey} from '@irisdock/kernel';
import * as z from 'zod';
import {BegunRequests} from '../serving/begun_requests.js';

/** The key of the service. */
export const BEGUN_REQUESTS = createServiceKey<BegunRequests>('begunRequests');

/** Declares the service. */
export const BEGUN_REQUESTS_SERVICE = createService({
  key: BEGUN_REQUESTS,
  settings: z.object({}),
  needs: [],
  create: ({clock}) => ({api: new BegunRequests(clock)}),
});
