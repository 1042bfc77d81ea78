/**
 * `npm run soak -- --seed N --minutes M --hosts H`: plays seeds one after the
 * other until the time is over; a broken promise ends it with 1 and its seed.
 */
import {runProgram} from '@irisdock/kernel';
import {err, ok} from 'neverthrow';
import {runPlay} from './run_play.js';
import {USUAL_PLAY, type PlayOptions} from './play_report.js';
import {findProgramFault} from './program_file.js';

const MINUTE_MS = 60_000;
const MAX_HOSTS = 150;
const EXIT_BROKEN = 1;
const USAGE = [
  'npm run soak -- [--seed N] [--minutes M] [--hosts H] [--program FILE]',
  '  --seed     the first seed, a whole number (1)',
  '  --minutes  how long seeds are played, a number (3)',
  `  --hosts    hosts of the deployment, 1 to ${MAX_HOSTS} (${USUAL_PLAY.hosts})`,
  '  --program  the bundle that hosts run (the deployed one)',
].join('\n');

async function runSeeds(
  first: number,
  minutes: number,
  options: PlayOptions,
): Promise<number> {
  const endAt = Date.now() + minutes * MINUTE_MS;
  let seed = first;
  let broken = 0;
  do {
    const report = await runPlay(seed, options);
    const faults = report.faults.map(({kind, at}) => `${at} ${kind}`);
    process.stdout.write(`${JSON.stringify({...report, faults})}\n`);
    if (report.broken.length > 0) broken++;
    seed++;
  } while (Date.now() < endAt);
  process.stdout.write(`seeds ${first} to ${seed - 1}: ${broken} broken\n`);
  return broken === 0 ? 0 : EXIT_BROKEN;
}

process.exitCode = await runProgram(
  {
    options: {
      help: {type: 'boolean', default: false},
      seed: {type: 'string', default: '1'},
      minutes: {type: 'string', default: '3'},
      hosts: {type: 'string', default: String(USUAL_PLAY.hosts)},
      program: {type: 'string', default: USUAL_PLAY.program},
    },
  },
  USAGE,
  async ({values}) => {
    const {program} = values;
    const [seed, hosts] = [Number(values.seed), Number(values.hosts)];
    const minutes = Number(values.minutes);
    const isSize = Number.isInteger(hosts) && hosts >= 1 && hosts <= MAX_HOSTS;
    const programFault = findProgramFault(program);
    if (programFault !== undefined) return err(programFault);
    if (Number.isInteger(seed) && minutes >= 0 && isSize) {
      const options = {...USUAL_PLAY, hosts, program};
      return ok(await runSeeds(seed, minutes, options));
    }
    return err(
      'Give --seed a whole number, --minutes a number and --hosts a whole ' +
        `number from 1 to ${MAX_HOSTS}.`,
    );
  },
);
