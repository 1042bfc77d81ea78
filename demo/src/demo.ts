/**
 * The demonstration: two answers are streamed; under the first its engine is
 * killed, under the second its daemon; both must arrive whole.
 */
import {fileURLToPath} from 'node:url';
import {checkText, type TextReport} from '@irisdock/standins';
import {
  createBareDeployment,
  createCallerState,
  getJson,
  readEndpoint,
  runProcess,
  streamOnce,
  type AddressAnswer,
  type CallerState,
  type CompletionAsk,
  type Deployment,
  type EngineCounts,
} from '@irisdock/testkit';

/** The last line that the demonstration prints. */
export interface DemoReport {
  readonly answers: number;
  readonly whole: boolean;
  readonly missing: number;
  readonly repeated: number;
  readonly resumeMsEngine: number;
  readonly resumeMsHost: number;
  readonly tokensRedone: number;
}

interface Streamed {
  readonly state: CallerState;
  readonly report: TextReport;
  /** The gap between the tokens before and after the kill. */
  readonly resumeMs: number;
  readonly redone: number;
}

const TOKENS = 200;
const KILL_AT = 80;
const MAX_CONNECTIONS = 10;
const PROMPT = 'Style sheet of the school: plain words, short lines. '.repeat(
  20,
);

/** Starts the processes, streams both answers and reports on them. */
export async function runDemo(): Promise<DemoReport> {
  const deployment = await createBareDeployment({
    daemons: 2,
    engines: 3,
    engineArgs: ['--engine-step-ms', '10'],
  });
  try {
    await declareResources(deployment);
    await deployment.waitReady();
    return await streamBoth(deployment);
  } finally {
    await deployment.stop();
  }
}

/** Declares the resources with the command line. */
async function declareResources(deployment: Deployment): Promise<void> {
  const file = fileURLToPath(new URL('../../resources.yaml', import.meta.url));
  const {operator} = deployment.getDaemon(0).places;
  const args = ['apply', '-f', file, '--server', operator, '--actor', 'demo'];
  const run = await runProcess('irisdock', args);
  process.stdout.write(run.stdout);
  if (run.code !== 0) throw new Error(`irisdock apply failed: ${run.stderr}`);
}

async function streamBoth(deployment: Deployment): Promise<DemoReport> {
  const first = await streamWithKill(deployment, (state) => {
    const engine = deployment.findEngine(readEndpoint(state));
    process.stdout.write(`killing engine ${engine.address}\n`);
    engine.process.sendSignal('SIGKILL');
  });
  const second = await streamWithKill(deployment, (_state, address) => {
    const daemon = deployment.daemons.find((d) => d.places.caller === address);
    process.stdout.write(`killing daemon ${address}\n`);
    daemon?.process.sendSignal('SIGKILL');
  });
  const both = [first, second];
  const missing = first.report.missing + second.report.missing;
  const repeated = first.report.repeated + second.report.repeated;
  const whole = both.every(
    ({state, report}) =>
      state.done && report.tokens === TOKENS && report.mixed === 0,
  );
  return {
    answers: both.length,
    whole: whole && missing === 0 && repeated === 0,
    missing,
    repeated,
    resumeMsEngine: first.resumeMs,
    resumeMsHost: second.resumeMs,
    tokensRedone: first.redone + second.redone,
  };
}

async function streamWithKill(
  deployment: Deployment,
  kill: (state: CallerState, address: string) => void,
): Promise<Streamed> {
  const state = createCallerState();
  const found = await findAddresses(deployment);
  const ask = createAsk(found.addresses[0]?.requestIds[0]);
  let killed = false;
  for (let at = 0; at < MAX_CONNECTIONS && !state.done; at++) {
    const address = found.addresses[at % found.addresses.length]?.address ?? '';
    await streamOnce(address, ask, state, () => {
      if (killed || state.ids.length < KILL_AT) return false;
      killed = true;
      kill(state, address);
      return false;
    });
  }
  const report = checkText(PROMPT, state.text, TOKENS);
  const redone = await countRedone(deployment, state);
  const resumeMs = findLongestGap(state.times.slice(KILL_AT - 1));
  return {state, report, resumeMs, redone};
}

async function findAddresses(deployment: Deployment): Promise<AddressAnswer> {
  const address = deployment.listAddresses()[0] ?? '';
  return getJson(`http://${address}/v1/addresses?ids=1`);
}

function createAsk(requestId: string | undefined): CompletionAsk {
  return {
    model: 'captions',
    prompt: PROMPT,
    maxTokens: TOKENS,
    team: 'atlas',
    ...(requestId === undefined ? {} : {requestId}),
  };
}

/** Tokens that live engines made beyond those of theirs in the answer. */
async function countRedone(
  deployment: Deployment,
  state: CallerState,
): Promise<number> {
  let redone = 0;
  for (const engine of deployment.engines) {
    if (engine.process.isExited) continue;
    const url = `http://${engine.address}/control/counts`;
    const counts = await getJson<Record<string, EngineCounts>>(url);
    const made = counts[state.requestId]?.tokens ?? 0;
    const passed = state.text.split(`.${engine.name}.`).length - 1;
    redone += made - passed;
  }
  return redone;
}

function findLongestGap(times: readonly number[]): number {
  let longest = 0;
  for (const [at, time] of times.entries()) {
    const before = times[at - 1] ?? time;
    longest = Math.max(longest, time - before);
  }
  return longest;
}
