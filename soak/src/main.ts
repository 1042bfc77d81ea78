/**
 * `npm run soak -- --seed N --minutes M --hosts H`: plays seeds one after the
 * other until the time is over; a broken promise ends it with 1 and its seed.
 */
import {parseProgramOptions} from '@irisdock/kernel';
import {runPlay, USUAL_PLAY, type PlayOptions} from './play.js';

const MINUTE_MS = 60_000;
const MAX_HOSTS = 150;
const EXIT_BROKEN = 1;
const EXIT_USAGE = 2;
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

async function runMain(): Promise<number> {
  const parsed = parseProgramOptions(
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
  );
  if (parsed.isErr()) {
    process.stderr.write(`${parsed.error}\n`);
    return EXIT_USAGE;
  }
  const {values} = parsed.value;
  if (values.help) {
    process.stdout.write(`${USAGE}\n`);
    return 0;
  }
  const [seed, hosts] = [Number(values.seed), Number(values.hosts)];
  const minutes = Number(values.minutes);
  const {program} = values;
  const isValid =
    Number.isInteger(seed) &&
    minutes >= 0 &&
    Number.isInteger(hosts) &&
    hosts >= 1 &&
    hosts <= MAX_HOSTS;
  if (!isValid) {
    process.stderr.write(
      'Give --seed a whole number, --minutes a number and --hosts a whole ' +
        `number from 1 to ${MAX_HOSTS}.\n${USAGE}\n`,
    );
    return EXIT_USAGE;
  }
  return runSeeds(seed, minutes, {...USUAL_PLAY, hosts, program});
}

process.exitCode = await runMain();
