// Switches one mechanism off at a time, in a copy of the deployed bundle, and
// plays seeds of the soak with it: some seed must find the broken promise.
// Ends with 1 when none of the seeds does, or a mechanism is not found.
import {spawnSync} from 'node:child_process';
import {readFileSync, writeFileSync} from 'node:fs';
import {basename} from 'node:path';

const BUNDLE = 'target/irisdock-gateway.mjs';
const MUTATED = 'target/irisdock-gateway-mutated.mjs';
const START = 'target/irisdock-start.mjs';
const MUTATED_START = 'target/irisdock-start-mutated.mjs';
const SEEDS = Array.from({length: 12}, (_, index) => index + 1);
// Seeds whose plays are scaled (soak/src/scaling_player.ts).
const SCALED_SEEDS = [12, 20, 22, 25, 26, 30, 32, 33, 34, 37, 38, 41];

// mechanism; what is replaced by what; the seeds that are played
const ALL_TRIALS = [
  [
    'a request that may run once is not sent again',
    / && route\.kind === "once"/,
    ' && false',
  ],
  [
    'what may have run is not said to be not run',
    'mayHaveRun = !0, isNew',
    'isNew',
  ],
  [
    'an endpoint that leaves gets no work',
    /!this\.isRemoved && this\.entry\.state === "ready"|priority !== "aside" && \w+\.find\(instanceId\)\?\.entry\.state === "leaving"/g,
    // The gate before a send refuses such an endpoint as well.
    (found) => String(found.startsWith('!')),
  ],
  [
    'a cut answer does not look whole',
    'isComplete = () => isBodyComplete(clientRequest, incoming, connectionEnd)',
    'isComplete = () => true',
  ],
  [
    'a begun stream stays at its software version',
    /getSoftwareVersion\(engine\) === version\d*/,
    'true',
  ],
  [
    'a version that left may have begun a lost stream',
    /listPossible\((service\d*)\) \{/,
    // The versions that are listed now.
    (found, name) =>
      `${found} return [...new Set([...this.parts.endpoints.listAll()]` +
      `.filter(({entry}) => entry.service === ${name})` +
      '.map(({entry}) => entry.version))];',
  ],
  [
    'the origin of a lost stream is read from the store',
    'stored = isCertain || isFound ?',
    'stored = true ?',
  ],
  ['a planned stop waits for what it has', /, await waitDrained\([^;]*/, ''],
  [
    'a refused caller is told when to come back',
    /retryAfterSeconds !== void 0/,
    'false',
  ],
  [
    'a limit that an endpoint names is kept',
    /findRate\(instanceId\) \{/,
    'findRate(instanceId) { return void 0;',
  ],
  [
    'what ended its endpoints is refused',
    'return this.parts.ledger.decide(content)',
    'return "clear"',
  ],
  [
    'revisions of a restored store are ordered by its era',
    /return (?:era % \d+|computeEra\(era\)) \* \d+ \+ change;/,
    'return change;',
  ],
  [
    'a pause that an endpoint asks for is kept',
    /findEnd\(instanceId\) \{/,
    'findEnd(instanceId) { return void 0;',
  ],
  [
    'a silent attempt is kept until a retry is granted',
    /listener\.handleSuspected\(silence\);/,
    'this.endSilent(silence);',
  ],
  [
    'a silent attempt is kept until the next one continues the stream',
    'isContinued = await Promise.race([',
    'isContinued = true; void Promise.race([',
  ],
  [
    'a silent attempt is closed when the next one continues the stream',
    /run\d*\.endSilent\(silence\)/,
    'void 0',
  ],
  [
    'the rest of a refused request is read',
    /isArriving \? this\.lingeringCloses\.end\([^)]*\) : /,
    '',
  ],
  [
    'a partitioned host relays its requests',
    /isPartitioned\(service\) \{/,
    'isPartitioned(service) { return false;',
  ],
  [
    'an order of fewer waits until others are there',
    'if (setCount(rest, pool, pool.firm - taken), !isSufficient(rest, input.goal)) break;',
    '',
    SCALED_SEEDS,
  ],
  [
    'streams leave an endpoint before its announced end',
    /startLeaving\(endsAt\) \{/,
    'startLeaving(endsAt) { return;',
    SCALED_SEEDS,
  ],
  [
    'both kinds of endpoints stay within the maximum',
    /(\w+) = Math\.max\(\1, order\.count\)/,
    '$1',
    SCALED_SEEDS,
  ],
  [
    'spot endpoints that were reclaimed are ordered again',
    /isRepeatDue\(now, bootMs\) \{/,
    'isRepeatDue(now, bootMs) { return false;',
    SCALED_SEEDS,
  ],
];

// With a word, only the trials whose mechanism has it.
const [word = ''] = process.argv.slice(2);
const trials = ALL_TRIALS.filter(([mechanism]) => mechanism.includes(word));
let wrong = 0;
for (const [mechanism, from, to, seeds = SEEDS] of trials) {
  const verdict = runTrial(from, to, seeds);
  if (!verdict.startsWith('found')) wrong++;
  console.log(`| ${mechanism} | ${verdict} |`);
}
process.exit(wrong === 0 ? 0 : 1);

function runTrial(from, to, seeds) {
  const text = readFileSync(BUNDLE, 'utf8');
  const changed = text.replace(from, to);
  if (changed === text) return 'mechanism not found';
  writeFileSync(MUTATED, changed);
  const start = readFileSync(START, 'utf8');
  writeFileSync(
    MUTATED_START,
    start.replace(basename(BUNDLE), basename(MUTATED)),
  );
  for (const seed of seeds) {
    const args = ['--seed', String(seed), '--minutes', '0'];
    const run = spawnSync(
      process.execPath,
      ['soak/dist/src/main.js', ...args, '--program', MUTATED_START],
      {encoding: 'utf8'},
    );
    if (run.status === 0) continue;
    const [line = ''] = run.stdout.split('\n');
    if (!line.startsWith('{')) return `NOT PLAYED: ${run.stderr}`;
    const [first] = JSON.parse(line).broken;
    return `found by seed ${seed}: ${first}`;
  }
  return `NOT FOUND by ${seeds.length} seeds`;
}
