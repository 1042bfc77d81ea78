/**
 * `npm run hunt -- --seed N --minutes M`: a longer search for failures. Each
 * seed plays answers and failures on a small deployment of processes; the
 * first promise that is broken ends the hunt with 1 and the seed.
 */
import {runProgram} from '@irisdock/kernel';
import {err, ok} from 'neverthrow';
import {runSeed} from './hunt_play.js';

const MINUTE_MS = 60_000;
const USAGE = [
  'npm run hunt -- [--seed N] [--minutes M]',
  '  --seed     the first seed, a whole number (1)',
  '  --minutes  how long seeds are played, a number above 0 (5)',
].join('\n');

async function runHunt(first: number, minutes: number): Promise<number> {
  const endAt = Date.now() + minutes * MINUTE_MS;
  let seed = first;
  do {
    const {faults, ...rest} = await runSeed(seed);
    process.stdout.write(`${JSON.stringify(rest)}\n`);
    if (faults.length > 0) {
      process.stdout.write(`seed ${seed} broke a promise:\n`);
      process.stdout.write(`${faults.join('\n')}\n`);
      return 1;
    }
    seed++;
  } while (Date.now() < endAt);
  const last = seed - 1;
  process.stdout.write(`no promise broken by seeds ${first} to ${last}\n`);
  return 0;
}

process.exitCode = await runProgram(
  {
    options: {
      help: {type: 'boolean', default: false},
      seed: {type: 'string', default: '1'},
      minutes: {type: 'string', default: '5'},
    },
  },
  USAGE,
  async ({values}) => {
    const seed = Number(values.seed);
    const minutes = Number(values.minutes);
    if (Number.isInteger(seed) && minutes > 0) {
      return ok(await runHunt(seed, minutes));
    }
    return err('Give --seed a whole number, --minutes a number.');
  },
);
