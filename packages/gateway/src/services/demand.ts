/** The service `demand`: the load of this host by service. */
import {createService, createServiceKey} from '@irisdock/kernel';
import * as z from 'zod';
import {DemandMeter} from '../serving/demand_meter.js';

/** The key of the service. */
export const DEMAND = createServiceKey<DemandMeter>('demand');

/** Declares the service. */
export const DEMAND_SERVICE = createService({
  key: DEMAND,
  settings: z.object({}),
  needs: [],
  create() {
    return {api: new DemandMeter()};
  },
});
