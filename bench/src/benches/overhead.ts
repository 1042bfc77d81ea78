/**
 * What the daemon adds: its processor time for a request and for a token,
 * beside a caller that is connected to the engine directly; memory for an
 * open stream.
 */
import {
  createDeployment,
  NAMES,
  streamWhole,
  type Deployment,
} from '@irisdock/testkit';
import {request} from 'undici';
import {createBench, type ResultRow} from '../bench.js';
import {computeLine, computeSpread, formatNumber} from '../statistics.js';
import {getCpuMs, getMemoryBytes} from '../usage.js';

const REPEATS = 3;
const STREAMS = 64;
const LENGTHS = [10, 100, 200, 400];
const PROMPT = 'A caption for the picture. '.repeat(40);

interface Load {
  readonly requests: number;
  readonly tokens: number;
  readonly cpuMs: number;
  readonly firstMs: readonly number[];
}

async function runThroughDaemon(
  deployment: Deployment,
  length: number,
): Promise<Load> {
  const {process, places} = deployment.getDaemon(0);
  const before = getCpuMs(process.pid);
  const firstMs: number[] = [];
  const streams = Array.from({length: STREAMS}, async () => {
    const startedAt = Date.now();
    const state = await streamWhole([places.caller], {
      model: NAMES.service,
      prompt: PROMPT,
      maxTokens: length,
      team: NAMES.team,
    });
    if (!state.done) throw new Error(`Not whole: ${state.error}`);
    firstMs.push((state.times[0] ?? startedAt) - startedAt);
  });
  await Promise.all(streams);
  const cpuMs = getCpuMs(process.pid) - before;
  return {requests: STREAMS, tokens: STREAMS * length, cpuMs, firstMs};
}

async function runDirect(
  deployment: Deployment,
  length: number,
): Promise<number[]> {
  const firstMs: number[] = [];
  const streams = Array.from({length: STREAMS}, async (_, at) => {
    const engine = deployment.engines[at % deployment.engines.length];
    const startedAt = Date.now();
    const answer = await request(`http://${engine?.address ?? ''}/v1/streams`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({
        mode: 'start',
        request: `direct-${at}-${startedAt}`,
        generation: 1,
        prompt: PROMPT,
        offset: 0,
        maxTokens: length,
        model: NAMES.model,
      }),
    });
    let isFirst = true;
    for await (const part of answer.body as AsyncIterable<Buffer>) {
      if (part.length === 0) continue;
      if (isFirst) firstMs.push(Date.now() - startedAt);
      isFirst = false;
    }
  });
  await Promise.all(streams);
  return firstMs;
}

async function measureMemory(deployment: Deployment): Promise<number> {
  const {process, places} = deployment.getDaemon(0);
  const points: [number, number][] = [];
  let open = 0;
  const ends: Promise<unknown>[] = [];
  const controller = {stop: false};
  for (const target of [0, 100, 200, 300, 400]) {
    for (; open < target; open++) {
      const ask = {
        model: NAMES.service,
        prompt: PROMPT,
        maxTokens: 4000,
        team: NAMES.team,
      };
      const isCut = (): boolean => controller.stop;
      ends.push(streamWhole([places.caller], ask, isCut));
    }
    await new Promise((resolve) => setTimeout(resolve, 2500));
    points.push([target, getMemoryBytes(process.pid)]);
  }
  controller.stop = true;
  await Promise.all(ends);
  return computeLine(points).slope;
}

/** The measurement. */
export const OVERHEAD_BENCH = createBench({
  name: 'overhead',
  description: "the daemon's own cost for a request, a token, a stream",
  async run() {
    const deployment = await createDeployment({
      daemons: 1,
      engines: 4,
      engineArgs: ['--engine-step-ms', '20', '--engine-slots', '128'],
    });
    try {
      await runThroughDaemon(deployment, 50);
      const rows: ResultRow[] = [];
      const points: [number, number][] = [];
      for (let repeat = 1; repeat <= REPEATS; repeat++) {
        for (const length of LENGTHS) {
          const load = await runThroughDaemon(deployment, length);
          const direct = await runDirect(deployment, length);
          points.push([length, load.cpuMs / load.requests]);
          rows.push({
            repeat,
            tokensPerRequest: length,
            cpuMsPerRequest: formatNumber(load.cpuMs / load.requests, 3),
            firstMsMedian: computeSpread(load.firstMs).median,
            directFirstMsMedian: computeSpread(direct).median,
          });
        }
      }
      const line = computeLine(points);
      const bytes = await measureMemory(deployment);
      return {
        rows,
        notes: [
          `cpu per request ${formatNumber(line.base, 3)} ms`,
          `cpu per token ${formatNumber(line.slope * 1000, 1)} us`,
          `memory per open stream ${formatNumber(bytes / 1024, 1)} KiB`,
        ],
      };
    } finally {
      await deployment.stop();
    }
  },
});
