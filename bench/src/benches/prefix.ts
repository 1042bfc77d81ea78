/**
 * Prefix-cache hits and spread over engines: long requests that share one of
 * several style sheets, through the system and by the naive way (any engine
 * at random). With processes.
 */
import {SeededRandom} from '@irisdock/kernel';
import {
  createDeployment,
  getJson,
  NAMES,
  streamWhole,
  type Deployment,
} from '@irisdock/testkit';
import {createBench, type ResultRow} from '../bench.js';
import {runNaiveCaller} from '../naive_caller.js';
import {computeFairness, formatNumber} from '../statistics.js';

const REQUESTS = 300;
const PARALLEL = 24;
const SHEETS = 40;
const TOKENS = 10;
const SHEET_CHARS = 2560;

interface CacheCounts {
  readonly blocks: number;
  readonly missing: number;
}

function createPrompt(way: string, at: number, random: SeededRandom): string {
  const sheet = random.getInt(SHEETS);
  const head = `Style sheet ${sheet} of ${way}. `;
  const text = head.repeat(Math.ceil(SHEET_CHARS / head.length));
  return `${text.slice(0, SHEET_CHARS)}Material ${at}. `;
}

async function countCaches(deployment: Deployment): Promise<CacheCounts[]> {
  return Promise.all(
    deployment.engines.map(({address}) =>
      getJson<CacheCounts>(`http://${address}/control/cache`),
    ),
  );
}

async function measureWay(
  deployment: Deployment,
  way: string,
  send: (prompt: string, at: number) => Promise<void>,
): Promise<ResultRow> {
  const random = new SeededRandom(5);
  const before = await countCaches(deployment);
  let next = 0;
  const runLane = async (): Promise<void> => {
    while (next < REQUESTS) {
      const at = next++;
      await send(createPrompt(way, at, random), at);
    }
  };
  await Promise.all(Array.from({length: PARALLEL}, runLane));
  const after = await countCaches(deployment);
  const blocks = after.map((c, at) => c.blocks - (before[at]?.blocks ?? 0));
  const missing = after.map((c, at) => c.missing - (before[at]?.missing ?? 0));
  const sum = (list: readonly number[]): number =>
    list.reduce((total, each) => total + each, 0);
  return {
    way,
    hitPercent: formatNumber(100 * (1 - sum(missing) / sum(blocks)), 1),
    prefillBlocks: sum(missing),
    jainOfEngines: formatNumber(computeFairness(blocks), 3),
  };
}

/** The measurement. */
export const PREFIX_BENCH = createBench({
  name: 'prefix',
  description: 'prefix-cache hits and spread over engines',
  async run() {
    const deployment = await createDeployment({
      daemons: 4,
      engines: 12,
      engineArgs: ['--engine-step-ms', '10', '--engine-cache-blocks', '400'],
    });
    try {
      const addresses = deployment.listAddresses();
      const random = new SeededRandom(9);
      const ours = await measureWay(
        deployment,
        'irisdock',
        async (prompt, at) => {
          const address = addresses[at % addresses.length] ?? '';
          const {service: model, team} = NAMES;
          const ask = {model, prompt, maxTokens: TOKENS, team};
          const state = await streamWhole([address], ask);
          if (!state.done) throw new Error(state.error);
        },
      );
      const naive = await measureWay(deployment, 'naive', async (prompt) => {
        const first = random.getInt(deployment.engines.length);
        await runNaiveCaller(
          deployment.engines,
          first,
          NAMES.model,
          prompt,
          TOKENS,
          () => undefined,
        );
      });
      return {
        rows: [ours, naive],
        notes: [
          `${REQUESTS} requests, ${PARALLEL} at a time, over ${SHEETS} style sheets of ${SHEET_CHARS / 64} blocks; 12 engines of 400 blocks`,
        ],
      };
    } finally {
      await deployment.stop();
    }
  },
});
