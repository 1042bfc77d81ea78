/**
 * One seed of a hunt: answers are streamed while engines, hosts and the
 * platform fail in an order that the seed gives. What must hold is checked on
 * every answer; what may fail (an answer given up) is only counted.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {SeededRandom} from '@irisdock/kernel';
import {checkText} from '@irisdock/standins';
import {
  createCallerState,
  createDeployment,
  getJson,
  NAMES,
  streamOnce,
  type AddressAnswer,
  type CallerState,
  type CompletionAsk,
  type Deployment,
} from '@irisdock/testkit';
import {ConfigurationWitness} from './hunt_configuration.js';
import {
  ALL_FAILURES,
  checkDrains,
  DAEMONS,
  ENGINES,
  type FailureKinds,
} from './hunt_failures.js';

const ANSWERS = 16;
const TOKENS = 80;
const FAILURES = 6;
const MAX_CONNECTIONS = 25;
const PATIENCE_MS = 1500;

/** What one seed showed. */
export interface PlayReport {
  readonly seed: number;
  readonly whole: number;
  /** The last error of each answer that was given up, by its kind. */
  readonly givenUp: Readonly<Record<string, number>>;
  readonly connections: number;
  readonly failures: string;
  /** Changes of the configuration that were accepted. */
  readonly changes: number;
  /** Promises that were broken. */
  readonly faults: readonly string[];
}

interface Played {
  readonly state: CallerState;
  readonly ask: CompletionAsk;
  readonly connections: number;
}

/**
 * Plays one seed.
 *
 * @param kinds The failures to draw from; a seed means another play with
 *     other ones.
 */
export async function runSeed(
  seed: number,
  kinds: FailureKinds = ALL_FAILURES,
): Promise<PlayReport> {
  const random = new SeededRandom(seed);
  const deployment = await createDeployment({
    daemons: DAEMONS,
    engines: ENGINES,
    engineArgs: ['--engine-step-ms', '15', '--engine-slots', '8'],
  });
  try {
    const witness = new ConfigurationWitness(deployment);
    const witnessed = witness.run();
    const failures = startFailures(deployment, random, kinds);
    const answers = Array.from({length: ANSWERS}, (_, at) =>
      runAnswer(deployment, at, random.getInt(2000), random.getInt(2) === 0),
    );
    const played = await Promise.all(answers);
    const names = await failures;
    witness.stop();
    await witnessed;
    const report = await createReport(deployment, seed, played, names);
    const more = [
      ...(await witness.finish()),
      ...(await checkDrains(deployment)),
    ];
    return {
      ...report,
      changes: witness.accepted,
      faults: [...report.faults, ...more],
    };
  } finally {
    for (const {process} of [...deployment.engines, ...deployment.daemons]) {
      process.sendSignal('SIGCONT');
    }
    await deployment.stop();
  }
}

async function startFailures(
  deployment: Deployment,
  random: SeededRandom,
  kinds: FailureKinds,
): Promise<string[]> {
  const names = Object.keys(kinds);
  const started: string[] = [];
  const running: Promise<void>[] = [];
  for (let at = 0; at < FAILURES; at++) {
    await sleep(random.getInt(700));
    const name = names[random.getInt(names.length)] ?? '';
    started.push(name);
    running.push(kinds[name]?.(deployment, random) ?? sleep(0));
  }
  await Promise.all(running);
  return started;
}

async function runAnswer(
  deployment: Deployment,
  at: number,
  delayMs: number,
  repeatable: boolean,
): Promise<Played> {
  await sleep(delayMs);
  const prompt = `Class portrait ${at}. `.repeat(20);
  const requestId = await findId(deployment, at);
  const ask: CompletionAsk = {
    model: NAMES.service,
    prompt,
    maxTokens: TOKENS,
    team: NAMES.team,
    repeatable,
    ...(requestId === '' ? {} : {requestId}),
  };
  const state = createCallerState();
  let connections = 0;
  while (connections < MAX_CONNECTIONS) {
    const address = chooseAddress(deployment, state, at + connections);
    connections++;
    await streamPatiently(address, ask, state);
    if (state.done) break;
    await sleep(200);
  }
  return {state, ask, connections};
}

async function findId(deployment: Deployment, at: number): Promise<string> {
  const live = deployment.liveDaemons;
  const address = live[at % live.length]?.places.caller ?? '';
  const answer = getJson<AddressAnswer>(`http://${address}/v1/addresses`);
  const found = await Promise.race([
    answer.catch(() => undefined),
    sleep(PATIENCE_MS),
  ]);
  return found?.addresses[0]?.requestIds[0] ?? '';
}

function chooseAddress(
  deployment: Deployment,
  state: CallerState,
  at: number,
): string {
  const owner = state.location.split('/')[2];
  if (state.status === 307 && owner !== undefined) return owner;
  const addresses = deployment.listAddresses();
  return addresses[at % addresses.length] ?? '';
}

/** Streams until the host is silent for too long. */
async function streamPatiently(
  address: string,
  ask: CompletionAsk,
  state: CallerState,
): Promise<void> {
  const watch = {lastAt: Date.now(), over: false, ended: false};
  const silence = (async (): Promise<void> => {
    while (!watch.ended && Date.now() - watch.lastAt < PATIENCE_MS) {
      await sleep(50);
    }
    watch.over = true;
  })();
  const stream = streamOnce(address, ask, state, () => {
    watch.lastAt = Date.now();
    return watch.over;
  });
  await Promise.race([stream, silence]);
  watch.ended = true;
}

async function createReport(
  deployment: Deployment,
  seed: number,
  played: readonly Played[],
  failures: readonly string[],
): Promise<Omit<PlayReport, 'changes'>> {
  const faults: string[] = [];
  for (const {state, ask} of played) {
    const what = `${state.requestId} (${ask.repeatable ? '' : 'not '}repeatable)`;
    const expected = state.done ? TOKENS : state.ids.length;
    const report = checkText(ask.prompt, state.text, expected);
    const {missing, repeated, mixed} = report;
    if (missing + repeated + mixed > 0) {
      faults.push(`${what}: ${JSON.stringify(report)}`);
    }
    if (state.ids.some((id, at) => id !== at)) {
      faults.push(`${what}: ids ${state.ids.join(' ')}`);
    }
    if (ask.repeatable === true) continue;
    const {starts} = await deployment.countRuns(state.requestId);
    if (starts > 1) faults.push(`${what}: started ${starts} times`);
  }
  const whole = played.filter(({state}) => state.done).length;
  const connections = played.reduce((sum, each) => sum + each.connections, 0);
  const givenUp: Record<string, number> = {};
  for (const {state} of played) {
    if (state.done) continue;
    const kind = /"kind":"(\w+)"/.exec(state.error)?.[1] ?? state.error;
    givenUp[kind] = (givenUp[kind] ?? 0) + 1;
  }
  const names = failures.join(' ');
  return {seed, whole, givenUp, connections, failures: names, faults};
}
