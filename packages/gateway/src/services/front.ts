/** The service `front`: the HTTP server for callers. */
import {createServer, type Server} from 'node:http';
import {
  createService,
  createServiceKey,
  IP_PORT_SCHEMA,
  type ServiceContext,
} from '@irisdock/kernel';
import * as z from 'zod';
import {
  CallerConnections,
  type FaultHandler,
} from '../channels/caller_connections.js';
import {
  EndpointClient,
  type AnswerBounds,
} from '../channels/endpoint_client.js';
import {startListening} from '../channels/listening.js';
import {PeerFrame} from '../model/peer_frame.js';
import {EndpointExitCheck} from '../serving/endpoint_exit_check.js';
import {EndpointProber} from '../serving/endpoint_prober.js';
import {EndpointPaths} from '../serving/endpoint_paths.js';
import {EngineClient} from '../serving/engine_client.js';
import {ExchangesInFlight} from '../serving/exchanges_in_flight.js';
import {OutageMetrics} from '../serving/outage_metrics.js';
import {PromptCacheFinder} from '../serving/prompt_cache_finder.js';
import {LateRefusals} from '../serving/late_refusals.js';
import {LostRuns} from '../serving/lost_runs.js';
import {RequestHandler} from '../serving/request_handler.js';
import {RequestRelay} from '../serving/request_relay.js';
import {
  registerHostStalls,
  ServingMetrics,
} from '../serving/serving_metrics.js';
import type {ServingParts} from '../serving/serving_parts.js';
import {SuccessorFinder} from '../serving/successors.js';
import {createAnswerBounds} from './answer_bounds.js';
import {BEGUN_REQUESTS} from './begun_requests.js';
import {CRASHES} from './crashes.js';
import {GATEWAY_CONFIGURATION} from './configuration.js';
import {DEMAND} from './demand.js';
import {EndpointGate} from './endpoint_gate.js';
import {ENDPOINT_NETWORK} from './endpoint_network.js';
import {GATEWAY_ENDPOINTS} from './endpoints.js';
import {waitDrained} from './front_drain.js';
import {FrontRequests} from './front_requests.js';
import {LIMITS} from './limits.js';
import {HOST_PHASE} from './host_phase.js';
import {HOST_IDENTITY} from './identity.js';
import {
  OUTAGE_SETTINGS,
  resolveOutageSettings,
  type OutageValues,
} from './outage_settings.js';
import {PEER_TABLES} from '../tables/peer_tables.js';
import {PEERS} from './peers.js';
import {
  createBudgetOptions,
  createRetryBudgets,
  type RetryBounds,
} from './retry_budget_setup.js';
import {REQUEST_MEMORY} from './request_memory.js';
import {ROLLOUTS} from './rollouts.js';
import {RUN_LEASES} from './run_leases.js';
import {STREAM_ORIGINS} from './stream_origins.js';
import {CODECS, STORE} from './store.js';
import {VERSION_HISTORY} from './version_histories.js';

/** The maximum time for a whole request to arrive, in ms. */
const REQUEST_TIMEOUT_MS = 60_000;
/** The key of the service. */
export const FRONT = createServiceKey<undefined>('front');

const SETTINGS = z.object({
  listen: IP_PORT_SCHEMA.meta({
    unit: 'ip:port',
    description: 'Where this host listens for callers.',
  }),
  retryRatio: z.coerce.number().min(0).default(0.2).meta({
    unit: 'sends/request',
    description: 'Retries per request, over all hosts.',
  }),
  retryAllowance: z.coerce.number().min(0).default(20).meta({
    unit: 'sends',
    description:
      'Retries in a window whatever the number of requests, over all hosts.',
  }),
  retryWindowSeconds: z.coerce.number().min(1).default(10).meta({
    unit: 's',
    description: 'The window in which retries are counted.',
  }),
  ...OUTAGE_SETTINGS.shape,
});

/** Declares the service. */
export const FRONT_SERVICE = createService({
  key: FRONT,
  settings: SETTINGS,
  needs: [
    BEGUN_REQUESTS,
    CODECS,
    CRASHES,
    DEMAND,
    ENDPOINT_NETWORK,
    GATEWAY_CONFIGURATION,
    GATEWAY_ENDPOINTS,
    HOST_IDENTITY,
    HOST_PHASE,
    LIMITS,
    PEER_TABLES,
    PEERS,
    REQUEST_MEMORY,
    ROLLOUTS,
    RUN_LEASES,
    STORE,
    STREAM_ORIGINS,
    VERSION_HISTORY,
  ],
  create(context, settings) {
    const {clock} = context;
    const phase = context.find(HOST_PHASE);
    const peers = context.find(PEERS);
    const parts = createServingParts(context, settings);
    const {client, codec} = parts;
    const prober = new EndpointProber(client, codec.reportPath, clock);
    const handler = new RequestHandler(parts, prober, phase);
    const inFlight = new ExchangesInFlight();
    const requests = new FrontRequests(context, handler, inFlight);
    context.find(PEER_TABLES).handle = (message, response, hop) => {
      requests.serve(message, response, hop);
    };
    // Node's refusal of requests without it resets their connection.
    const options = {requireHostHeader: false};
    const server = createServer(options, (message, response) => {
      const arrivedAt = clock.getNow();
      connections.accept(message, response, () =>
        requests.serve(message, response, undefined, arrivedAt),
      );
    });
    // Without listeners, Node asks for each body before its request is known,
    // and answers requests that expect anything else.
    for (const event of ['checkContinue', 'checkExpectation'] as const) {
      server.on(event, (message, response) => {
        server.emit('request', message, response);
      });
    }
    server.requestTimeout = REQUEST_TIMEOUT_MS;
    const refuse = requests.refuse.bind(requests);
    const connections = createConnections(server, context, refuse);
    return {
      api: undefined,
      live: {
        keys: ['retryRatio', 'retryAllowance', 'retryWindowSeconds'],
        apply: (changed) => {
          parts.retryBudgets.setBounds(createBudgetOptions(changed));
        },
      },
      start: () => startListening(server, settings.listen),
      async drain() {
        phase.startLeaving();
        peers.publishState();
        await waitDrained({...context, connections, phase, inFlight});
        // At once, as further requests would start after the check.
        connections.closeAll();
      },
      stop() {
        connections.closeAll();
        parts.lostRuns.close();
        parts.paths.close();
        parts.relay.close();
        client.close();
        parts.retryBudgets.use?.stop();
        return Promise.resolve();
      },
    };
  },
});

function createConnections(
  server: Server,
  context: ServiceContext,
  refuse: FaultHandler,
): CallerConnections {
  const configuration = context.find(GATEWAY_CONFIGURATION);
  const {guard} = context.find(REQUEST_MEMORY);
  const {limits} = configuration;
  const {log} = context;
  const connections = new CallerConnections(server, limits, log, refuse, guard);
  void configuration.changes.observe(() => {
    connections.applyLimits(configuration.limits);
  });
  return connections;
}

function createServingParts(
  context: ServiceContext,
  settings: z.infer<typeof SETTINGS>,
): ServingParts {
  const {clock, random, log, metrics} = context;
  const codecs = context.find(CODECS);
  const codec = codecs.headers;
  const configuration = context.find(GATEWAY_CONFIGURATION);
  const gate = createGate(context);
  const paths = createPaths(context);
  const answers = createAnswerBounds(context);
  const client = createClient(context, gate, paths, answers);
  const engineClient = new EngineClient(client, clock);
  const servingMetrics = new ServingMetrics(metrics);
  const outageMetrics = new OutageMetrics(metrics);
  registerHostStalls(metrics, clock);
  const crashes = context.find(CRASHES);
  const exitCheck = createExitCheck(context, client, paths);
  const outages = resolveOutages(context, settings);
  return {
    clock,
    startedAt: clock.getNow(),
    random,
    log,
    codec,
    bodies: context.find(REQUEST_MEMORY).bodies,
    copyCodec: codecs.copies,
    client,
    engineClient,
    successors: createSuccessors(context, engineClient),
    promptCaches: new PromptCacheFinder(
      engineClient,
      codecs.keptPrompts,
      context.find(PEERS).position,
      clock,
      log,
    ),
    configuration,
    endpoints: context.find(GATEWAY_ENDPOINTS),
    retryBudgets: createRetryBudgets(context, outages, outageMetrics),
    rollouts: context.find(ROLLOUTS),
    crashes,
    runLeases: context.find(RUN_LEASES),
    origins: context.find(STREAM_ORIGINS),
    versions: context.find(VERSION_HISTORY),
    gate,
    paths,
    relay: createRelay(context, answers),
    lateRefusals: createLateRefusals(context, outages, outageMetrics),
    lostRuns: new LostRuns({
      ...context,
      exitCheck,
      crashes,
      metrics: servingMetrics,
    }),
    metrics: servingMetrics,
    begunRequests: context.find(BEGUN_REQUESTS),
    demand: context.find(DEMAND),
  };
}

function resolveOutages(
  context: ServiceContext,
  settings: z.infer<typeof SETTINGS>,
): RetryBounds & OutageValues {
  const {hasSeveral} = context.find(HOST_IDENTITY).regions;
  return {...settings, ...resolveOutageSettings(settings, hasSeveral)};
}

function createSuccessors(
  context: ServiceContext,
  engineClient: EngineClient,
): SuccessorFinder {
  return new SuccessorFinder({
    engineClient,
    codec: context.find(CODECS).engineReports,
    configuration: context.find(GATEWAY_CONFIGURATION),
    endpoints: context.find(GATEWAY_ENDPOINTS),
    log: context.log,
  });
}

function createClient(
  context: ServiceContext,
  gate: EndpointGate,
  paths: EndpointPaths,
  answers: AnswerBounds,
): EndpointClient {
  const {headers} = context.find(CODECS);
  const network = context.find(ENDPOINT_NETWORK);
  const {clock} = context;
  return new EndpointClient(headers, gate, clock, network, paths, answers);
}

function createRelay(
  context: ServiceContext,
  answers: AnswerBounds,
): RequestRelay {
  const {deployment} = context.find(HOST_IDENTITY);
  return new RequestRelay({
    ...context,
    codec: context.find(CODECS).headers,
    peers: context.find(PEERS),
    deployment: new PeerFrame(deployment).tag,
    answers,
  });
}

function createPaths(context: ServiceContext): EndpointPaths {
  return new EndpointPaths({
    ...context,
    network: context.find(ENDPOINT_NETWORK),
    endpoints: context.find(GATEWAY_ENDPOINTS),
  });
}

function createGate(context: ServiceContext): EndpointGate {
  const {clock, metrics} = context;
  return new EndpointGate({
    limits: context.find(LIMITS),
    endpoints: context.find(GATEWAY_ENDPOINTS),
    clock,
    metrics,
  });
}

function createExitCheck(
  context: ServiceContext,
  client: EndpointClient,
  paths: EndpointPaths,
): EndpointExitCheck {
  return new EndpointExitCheck({
    client,
    paths,
    codec: context.find(CODECS).headers,
    configuration: context.find(GATEWAY_CONFIGURATION),
    endpoints: context.find(GATEWAY_ENDPOINTS),
    crashes: context.find(CRASHES),
    clock: context.clock,
    random: context.random,
    log: context.log,
  });
}

function createLateRefusals(
  context: ServiceContext,
  {lateRefusalTargets: maxTargets}: OutageValues,
  {lateRefusals: refusals}: OutageMetrics,
): LateRefusals {
  return new LateRefusals({...context, refusals, maxTargets});
}
