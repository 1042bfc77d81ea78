/** Serves the requests of callers and of other hosts, each to its end. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {KnownError, ServiceContext} from '@irisdock/kernel';
import {LINGER_BOUNDS, LingeringCloses} from '../channels/lingering_closes.js';
import {UNREAD_BOUNDS, UnreadAnswers} from '../channels/unread_answers.js';
import type {RelayHop} from '../model/relay_path.js';
import {CallerExchange} from '../serving/caller_exchange.js';
import type {ExchangesInFlight} from '../serving/exchanges_in_flight.js';
import {formatRefusalResponse} from '../serving/refusal_response.js';
import type {RequestHandler} from '../serving/request_handler.js';
import {REQUEST_MEMORY} from './request_memory.js';

/** Serves requests, and refuses what is none. */
export class FrontRequests {
  private readonly lingeringCloses: LingeringCloses;
  private readonly unreadAnswers: UnreadAnswers;

  constructor(
    private readonly context: ServiceContext,
    private readonly handler: RequestHandler,
    private readonly inFlight: ExchangesInFlight,
  ) {
    const {metrics} = handler;
    const {maxUnreadBytes} = context.find(REQUEST_MEMORY);
    this.lingeringCloses = new LingeringCloses({
      ...context,
      bounds: LINGER_BOUNDS,
      closes: metrics.lingeringCloses,
    });
    this.unreadAnswers = new UnreadAnswers({
      ...context,
      bounds: {...UNREAD_BOUNDS, maxBytes: maxUnreadBytes},
      closes: metrics.unreadAnswers,
    });
  }

  /**
   * Serves one request; one without a hop comes from a caller.
   *
   * @returns Its exchange; undefined if it can't be answered.
   */
  serve(
    message: IncomingMessage,
    response: ServerResponse,
    hop?: RelayHop,
    arrivedAt = this.context.clock.getNow(),
  ): CallerExchange | undefined {
    const {handler, inFlight, lingeringCloses, unreadAnswers} = this;
    // It could not be answered, so it must not run.
    if (lingeringCloses.has(message.socket)) return undefined;
    const exchange = new CallerExchange(
      message,
      response,
      arrivedAt,
      lingeringCloses,
      unreadAnswers,
      hop,
    );
    inFlight.add(exchange);
    const closed = new Promise<void>((resolve) => {
      response.once('close', resolve);
    });
    void handler
      .handle(exchange)
      .catch((thrown: unknown) => {
        handler.fail(exchange, thrown);
      })
      .then(() => closed)
      .finally(() => {
        inFlight.drop(exchange);
      });
    return exchange;
  }

  /** Refuses bytes of a caller that are no request. */
  refuse(socket: Socket, fault: KnownError): void {
    this.handler.recordMalformed(fault, socket.remoteAddress);
    this.lingeringCloses.endUnparsed(socket, formatRefusalResponse(fault));
  }
}
