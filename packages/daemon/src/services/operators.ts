/**
 * The service `operators`: serves the API for operators and their tools:
 * resources, watches, audit log, status, metrics, liveness and readiness.
 */
import {createService, createServiceKey} from '@irisdock/kernel';
import {sendJson, type Route, type WebRequest} from '@irisdock/web';
import type {Registry} from 'prom-client';
import * as z from 'zod';
import {sendAudit} from '../operator/audit_route.js';
import {ResourceRoutes} from '../operator/resource_routes.js';
import {sendStatus} from '../operator/status_route.js';
import {ADMISSION} from './admission.js';
import {CALLERS, type Callers} from './callers.js';
import {CONFIGURATION} from './configuration.js';
import {WRITER} from './configuration_writer.js';
import {ENDPOINTS} from './endpoint_directory.js';
import {HOST} from './host.js';
import {LISTENERS} from './listeners.js';
import {MEMBERSHIP} from './membership.js';
import {PEER_LINKS} from './peer_links.js';
import {PLATFORM} from './platform.js';

/** The key of the service. */
export const OPERATORS = createServiceKey<undefined>('operators');

/** Declares the service. */
export const OPERATORS_SERVICE = createService({
  key: OPERATORS,
  settings: z.object({}),
  needs: [
    ADMISSION,
    CALLERS,
    CONFIGURATION,
    ENDPOINTS,
    HOST,
    LISTENERS,
    MEMBERSHIP,
    PEER_LINKS,
    PLATFORM,
    WRITER,
  ],
  create(context) {
    const configuration = context.find(CONFIGURATION);
    const membership = context.find(MEMBERSHIP);
    const platform = context.find(PLATFORM);
    const status = {
      host: context.find(HOST),
      configuration,
      membership,
      links: context.find(PEER_LINKS),
      directory: context.find(ENDPOINTS),
      admission: context.find(ADMISSION),
    };
    const resources = new ResourceRoutes(configuration, context.find(WRITER));
    const callers = context.find(CALLERS);
    const createGetRoute = (path: string, handle: Route['handle']): Route => ({
      method: 'GET',
      path,
      handle,
    });
    const routes: Route[] = [
      ...resources.listRoutes(),
      createGetRoute('/v1/audit', (request) => sendAudit(request, platform)),
      createGetRoute('/v1/status', (request) => {
        sendStatus(request, status);
      }),
      createGetRoute('/metrics', (request) =>
        sendMetrics(request, context.metrics),
      ),
      createGetRoute('/livez', (request) => {
        sendJson(request.response, 200, {live: true});
      }),
      createGetRoute('/readyz', (request) => {
        sendReadiness(request, callers, membership.isLeaving);
      }),
    ];
    return {
      api: undefined,
      start() {
        context.find(LISTENERS).operators.setRoutes(routes);
        return Promise.resolve();
      },
    };
  },
});

async function sendMetrics(
  request: WebRequest,
  registry: Registry,
): Promise<void> {
  const body = await registry.metrics();
  const {response} = request;
  response.writeHead(200, {'content-type': registry.contentType});
  response.end(body);
}

function sendReadiness(
  request: WebRequest,
  callers: Callers,
  isLeaving: boolean,
): void {
  const refusal = callers.findRefusal();
  const ready = refusal === undefined && !isLeaving;
  const reason = isLeaving ? 'leaving' : (refusal?.kind ?? '');
  sendJson(request.response, ready ? 200 : 503, {ready, reason});
}
