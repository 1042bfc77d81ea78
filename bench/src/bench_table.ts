/** All measurements. */
import type {Bench} from './bench.js';
import {OVERHEAD_BENCH} from './benches/overhead.js';

/** All measurements, in the order of help. */
export const BENCHES: readonly Bench[] = [OVERHEAD_BENCH];
