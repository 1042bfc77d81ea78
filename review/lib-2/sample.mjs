/** A small deployment's configuration, its calls and steady traffic. */
import {setTimeout as wait} from 'node:timers/promises';

export const HOST_NAME = 'ficu95.example';
export const ZONES = ['moose-hall', 'regina-east', 'swift-depot'];
export const KEY = 'n2ctnfzs989anu6wsjnb';
export const BOUNDS = {
  drain_ms: 2000,
  grace_s: 8,
  retry_budget_ratio: 0.8,
  retry_budget_slack: 150,
  budget_window_s: 10,
};
export const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 4_194_304,
  header_timeout_ms: 3000,
  idle_timeout_ms: 15_000,
};

function createRoute(change) {
  return {
    host: HOST_NAME,
    target_latency_ms: 193,
    timeout_ms: 1000,
    priority: 2,
    attempts: 2,
    public: false,
    service: 'portal',
    ...change,
  };
}

/** Creates a configuration: a portal, and engines for streams. */
export function createConfiguration(version, change = {}) {
  const service = {health_path: '/health', protocol: 'h1', tls: false};
  const engine = {
    slots: 64,
    kv_cache_tokens: 88_000,
    moves: false,
    backups: false,
  };
  return {
    version,
    routes: [
      createRoute({
        name: 'agenda',
        path_prefix: '/agenda/',
        kind: 'safe',
        public: true,
      }),
      createRoute({
        name: 'transcripts',
        path_prefix: '/transcripts/',
        kind: 'unsafe',
      }),
      createRoute({
        name: 'summaries',
        path_prefix: '/summaries/',
        kind: 'streaming',
        service: 'minutes',
        timeout_ms: 25_000,
        target_latency_ms: 4500,
        target_gap_ms: 700,
        attempts: 5,
        priority: 1,
        sticky: true,
        resumable: true,
      }),
    ],
    services: [
      {...service, name: 'minutes', connection_limit: 360, engine},
      {...service, name: 'portal', connection_limit: 96},
    ],
    limits: LIMITS,
    tenants: [{name: 'hule930', api_keys: [KEY], priority: 1}],
    ...change,
  };
}

/** Creates a call that may run once, to the portal. */
export function createTranscript(number) {
  return {
    label: 'transcript',
    method: 'POST',
    path: `/transcripts/${number}`,
    kind: 'unsafe',
    budgetMs: 1000,
    retries: 1,
    key: KEY,
    body: `page ${number} of the transcript`,
  };
}

/** Creates a stream. */
export function createSummary(number) {
  const own = (number + 4096).toString(16);
  return {
    label: 'summary',
    method: 'POST',
    path: '/summaries/hearing',
    kind: 'stream',
    budgetMs: 25_000,
    retries: 0,
    key: KEY,
    body: `recording ${number}`,
    headers: {
      'X-Irisdock-Model': 'm',
      'X-Irisdock-Token-Counts': '700,60',
      'X-Irisdock-Prompt-Prefix': `5c1e07a2:200,${own}:500`,
    },
  };
}

/** Starts servers of both services in each zone. */
export async function startServers(
  deployment,
  {workMs = 43, events = 20, gapMs = 60, pageBytes = 0} = {},
) {
  for (const zone of ZONES) {
    await deployment.startServer('portal', zone, {slots: 6, workMs, pageBytes});
    await deployment.startServer('minutes', zone, {
      slots: 64,
      workMs: 0,
      events,
      gapMs,
    });
  }
}

/** Sends requests at a rate until a time, without waiting for answers. */
export async function sendSteadily(consumers, perSecond, untilS, createCall) {
  const {deployment} = consumers;
  const startedAt = deployment.now;
  const sent = [];
  for (let number = 0; deployment.now < untilS; number++) {
    sent.push(consumers.send(createCall(number)));
    const dueAt = startedAt + (number + 1) / perSecond;
    await wait(Math.max(0, (dueAt - deployment.now) * 1000));
  }
  await Promise.all(sent);
}
