/** All measurements. */
import type {Bench} from './bench.js';
import {CONTROL_BENCH} from './benches/control.js';
import {DOMAIN_LOSS_BENCH} from './benches/domain_loss.js';
import {FAIRNESS_BENCH} from './benches/fairness.js';
import {HOST_COST_BENCH} from './benches/host_cost.js';
import {HOST_LOSS_BENCH} from './benches/host_loss.js';
import {IDLE_HOST_BENCH} from './benches/idle_host.js';
import {OVERHEAD_BENCH} from './benches/overhead.js';
import {OVERLOAD_BENCH} from './benches/overload.js';
import {PREFIX_BENCH} from './benches/prefix.js';
import {RESUME_BENCH} from './benches/resume.js';
import {STALLS_BENCH} from './benches/stalls.js';

/** All measurements, in the order of help. */
export const BENCHES: readonly Bench[] = [
  OVERHEAD_BENCH,
  RESUME_BENCH,
  STALLS_BENCH,
  FAIRNESS_BENCH,
  HOST_LOSS_BENCH,
  DOMAIN_LOSS_BENCH,
  OVERLOAD_BENCH,
  PREFIX_BENCH,
  CONTROL_BENCH,
  IDLE_HOST_BENCH,
  HOST_COST_BENCH,
];
