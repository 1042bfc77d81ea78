/** Fixtures for the daemon's tests. */
import {SeededRandom, SystemClock} from '@irisdock/kernel';
import {Counter, Histogram} from 'prom-client';
import {Admission} from '../src/services/admission.js';

/** Creates an admission service with unregistered metrics. */
export function createAdmission(): Admission {
  const registers: [] = [];
  return new Admission({
    clock: new SystemClock(),
    random: new SeededRandom(1),
    waitSeconds: new Histogram({
      name: 'waits',
      help: 'Waits.',
      labelNames: ['service'],
      registers,
    }),
    refusals: new Counter({
      name: 'refusals',
      help: 'Refusals.',
      labelNames: ['service', 'kind'],
      registers,
    }),
  });
}
