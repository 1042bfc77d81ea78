/** The service `metrics`: gives the figures of this process as text. */
import {createServer} from 'node:http';
import {
  createService,
  createServiceKey,
  getErrorText,
  IP_PORT_SCHEMA,
} from '@irisdock/kernel';
import {collectDefaultMetrics} from 'prom-client';
import * as z from 'zod';
import {startListening} from '../channels/listening.js';

/** The path of the page. */
export const METRICS_PATH = '/metrics';

/** The usual 10 ms would wake an idle process a hundred times a second. */
const LOOP_PRECISION_MS = 2000;

/** The key of the service. */
export const METRICS_PAGE = createServiceKey<undefined>('metrics');

/** Declares the service. */
export const METRICS_PAGE_SERVICE = createService({
  key: METRICS_PAGE,
  settings: z.object({
    listen: IP_PORT_SCHEMA.meta({
      unit: 'ip:port',
      description: 'Where the figures are given, at /metrics.',
    }),
  }),
  needs: [],
  create(context, settings) {
    const {metrics, log} = context;
    collectDefaultMetrics({
      register: metrics,
      prefix: 'irisdock_process_',
      eventLoopMonitoringPrecision: LOOP_PRECISION_MS,
    });
    const server = createServer((message, response) => {
      if (message.url !== METRICS_PATH) {
        response.writeHead(404).end();
        return;
      }
      metrics
        .metrics()
        .then((text) => {
          response.writeHead(200, {'content-type': metrics.contentType});
          response.end(text);
        })
        .catch((thrown: unknown) => {
          const error = getErrorText(thrown);
          log.writeError('The figures could not be given.', {error});
          response.writeHead(500).end();
        });
    });
    return {
      api: undefined,
      async start() {
        try {
          await startListening(server, settings.listen);
        } catch (thrown) {
          // Requests are served without this page too.
          const error = getErrorText(thrown);
          log.writeError('The figures are not given.', {error});
        }
      },
      stop() {
        server.close();
        server.closeAllConnections();
        return Promise.resolve();
      },
    };
  },
});
