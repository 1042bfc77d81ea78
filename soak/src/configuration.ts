/** The configuration of a play, in the platform's form. */
import {SERVICES} from './endpoint_fleet.js';

/** The host name that callers ask for. */
export const HOST_NAME = 'soak.example';
/** The key that callers send. */
export const KEY = 'key-of-the-team';
/** Where each kind of request goes. */
export const PATHS = {
  once: '/once/x',
  repeatable: '/again/x',
  stream: '/stream/x',
} as const;

const TIMEOUT_MS = 3000;
const STREAM_TIMEOUT_MS = 12_000;
const ENGINE = {kv_cache_tokens: 88_000, backups: true};

/** Creates a version; each has a route more than the one before. */
export function createConfiguration(version: number): unknown {
  const routes = [
    createRoute('once', '/once/', {kind: 'unsafe', attempts: 3}),
    createRoute('again', '/again/', {kind: 'safe', attempts: 3}),
    createRoute('stream', '/stream/', {
      kind: 'streaming',
      service: SERVICES.streams,
      attempts: 5,
      resumable: true,
      target_gap_ms: 700,
      timeout_ms: STREAM_TIMEOUT_MS,
    }),
  ];
  for (let older = 1; older <= version; older++) {
    const name = `version-${older}`;
    routes.push(createRoute(name, `/${name}/`, {public: true}));
  }
  return {
    version,
    routes,
    services: [
      {name: SERVICES.calls, health_path: '/health', connection_limit: 200},
      {
        name: SERVICES.streams,
        health_path: '/health',
        connection_limit: 200,
        engine: ENGINE,
      },
    ],
    tenants: [{name: 'team', api_keys: [KEY]}],
  };
}

function createRoute(
  name: string,
  pathPrefix: string,
  change: Readonly<Record<string, unknown>>,
): Record<string, unknown> {
  return {
    name,
    host: HOST_NAME,
    path_prefix: pathPrefix,
    kind: 'safe',
    service: SERVICES.calls,
    timeout_ms: TIMEOUT_MS,
    target_latency_ms: 200,
    priority: 1,
    attempts: 2,
    ...change,
  };
}
