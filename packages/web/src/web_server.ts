/**
 * An HTTP server with a table of routes. It owns its listening socket, gives
 * each request to the handler of its route and answers what fits none.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  BodyMemory,
  createGuardedServer,
  getErrorText,
  RequestBacklog,
  splitPlace,
  type Logger,
  type ServerGuard,
} from '@irisdock/kernel';
import {sendError} from './answers.js';
import {WEB_ERRORS} from './errors.js';
import {OpenResponses} from './open_responses.js';
import {WebRequest, type BodyLimits} from './web_request.js';

/** A path with `:name` for a segment and a trailing `*` for the rest. */
export interface Route {
  readonly method: 'DELETE' | 'GET' | 'POST' | 'PUT' | '*';
  readonly path: string;
  handle(request: WebRequest): Promise<void> | void;
}

/** How a server listens and what it lets through. */
export interface WebServerOptions {
  /** The place to listen at, as `ip:port`; port 0 takes a free one. */
  readonly listen: string;
  readonly limits: BodyLimits;
  /** The memory for the bodies of all requests; one of its own if absent. */
  readonly memory?: BodyMemory;
  /** Guards the server; one of its own if absent. */
  readonly guard?: ServerGuard;
}

interface FoundRoute {
  readonly route: Route;
  readonly parameters: Readonly<Record<string, string>>;
}

const HEADERS_MS = 10_000;
const KEEP_ALIVE_MS = 15_000;
/** How long a client may take nothing of its answer, in ms. */
const MAX_STALL_MS = 30_000;

/** An HTTP server. */
export class WebServer {
  private readonly server: Server;
  private readonly responses: OpenResponses;
  private readonly memory: BodyMemory;

  /**
   * @param routes What is served; undefined while it is not known yet, when
   *     everything is refused as starting.
   */
  constructor(
    private readonly options: WebServerOptions,
    private routes: readonly Route[] | undefined,
    private readonly log: Logger,
  ) {
    this.memory = options.memory ?? new BodyMemory();
    this.server = createGuardedServer(
      options.guard ?? createGuard(),
      (message, response) => {
        void this.handle(message, response);
      },
    );
    this.responses = new OpenResponses(this.server);
    // Those that wait for others on their connection are open as well.
    this.server.on('request', (message, response: ServerResponse) => {
      this.responses.add(message, response);
    });
    this.server.headersTimeout = HEADERS_MS;
    this.server.requestTimeout = 0;
    this.server.keepAliveTimeout = KEEP_ALIVE_MS;
  }

  /** Starts to listen; gives the place that was taken, as `ip:port`. */
  async start(): Promise<string> {
    const {host, port} = splitPlace(this.options.listen);
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return formatPlace(this.server.address() as AddressInfo);
  }

  /** Sets what is served. */
  setRoutes(routes: readonly Route[]): void {
    this.routes = routes;
  }

  /** The number of responses that have not been flushed. */
  get openResponses(): number {
    return this.responses.size;
  }

  /**
   * Takes no new connection and closes those without a request. Does nothing
   * while a response that has ended waits for its caller to read, as the server
   * would close that connection as well.
   */
  closeIdle(): void {
    if (this.responses.hasEnded) return;
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Closes the server with all connections. */
  async stop(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
      this.server.closeAllConnections();
    });
  }

  private async handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    message.on('error', () => undefined);
    response.on('error', () => undefined);
    const path = new URL(message.url ?? '/', 'http://localhost').pathname;
    const found = this.findRoute(message.method ?? 'GET', path);
    if (found === undefined) {
      this.refuse(message, response, path);
      return;
    }
    const {route, parameters} = found;
    try {
      await route.handle(
        new WebRequest(
          message,
          response,
          parameters,
          this.options.limits,
          this.memory,
        ),
      );
    } catch (thrown) {
      const detail = getErrorText(thrown);
      this.log.writeError('A handler failed.', {
        path: route.path,
        error: detail,
      });
      sendError(response, WEB_ERRORS.create('internal', {detail}));
    }
  }

  private findRoute(method: string, path: string): FoundRoute | undefined {
    for (const route of this.routes ?? []) {
      if (route.method !== method && route.method !== '*') continue;
      const parameters = matchPath(route.path, path);
      if (parameters !== undefined) return {route, parameters};
    }
    return undefined;
  }

  private refuse(
    message: IncomingMessage,
    response: ServerResponse,
    path: string,
  ): void {
    if (this.routes === undefined) {
      sendError(response, WEB_ERRORS.create('starting', {}, 1));
      return;
    }
    const allowed = this.routes
      .filter((route) => matchPath(route.path, path) !== undefined)
      .map((route) => route.method);
    const method = message.method ?? '';
    const error =
      allowed.length === 0
        ? WEB_ERRORS.create('no_such_path', {path})
        : WEB_ERRORS.create('no_such_method', {
            path,
            method,
            allowed: allowed.join(', '),
          });
    sendError(response, error);
  }
}

/** Creates the guard of the servers of a process. */
export function createGuard(
  backlog = new RequestBacklog(),
  handleClose: ServerGuard['handleClose'] = () => undefined,
): ServerGuard {
  return {backlog, maxStallMs: MAX_STALL_MS, handleClose};
}

function formatPlace(info: AddressInfo): string {
  const host = info.family === 'IPv6' ? `[${info.address}]` : info.address;
  return `${host}:${info.port}`;
}

function matchPath(
  pattern: string,
  path: string,
): Record<string, string> | undefined {
  const wanted = pattern.split('/');
  const given = path.split('/');
  const parameters: Record<string, string> = {};
  for (const [index, part] of wanted.entries()) {
    if (part === '*') {
      parameters['rest'] = given.slice(index).join('/');
      return parameters;
    }
    const value = given[index];
    if (value === undefined) return undefined;
    if (part.startsWith(':')) parameters[part.slice(1)] = decodePart(value);
    else if (part !== value) return undefined;
  }
  return wanted.length === given.length ? parameters : undefined;
}

function decodePart(part: string): string {
  try {
    return decodeURIComponent(part);
  } catch {
    return part;
  }
}
