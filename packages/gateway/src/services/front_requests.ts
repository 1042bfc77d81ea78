/** Serves the requests of callers and of other hosts, each to its end. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ServiceContext} from '@irisdock/kernel';
import {LINGER_BOUNDS, LingeringCloses} from '../channels/lingering_closes.js';
import {UNREAD_BOUNDS, UnreadAnswers} from '../channels/unread_answers.js';
import type {RelayHop} from '../model/relay_path.js';
import {CallerExchange} from '../serving/caller_exchange.js';
import type {ExchangesInFlight} from '../serving/exchanges_in_flight.js';
import type {RequestHandler} from '../serving/request_handler.js';

/** Serves one request; one without a hop comes from a caller. */
export type Serve = (
  message: IncomingMessage,
  response: ServerResponse,
  hop?: RelayHop,
  arrivedAt?: number,
) => void;

/** Creates the function that serves requests of callers and of other hosts. */
export function createServe(
  context: ServiceContext,
  handler: RequestHandler,
  inFlight: ExchangesInFlight,
): Serve {
  const {clock} = context;
  const {metrics} = handler;
  const lingeringCloses = new LingeringCloses({
    ...context,
    bounds: LINGER_BOUNDS,
    closes: metrics.lingeringCloses,
  });
  const unreadAnswers = new UnreadAnswers({
    ...context,
    bounds: UNREAD_BOUNDS,
    closes: metrics.unreadAnswers,
  });
  return (message, response, hop, arrivedAt = clock.getNow()) => {
    // It could not be answered, so it must not run.
    if (lingeringCloses.has(message.socket)) return;
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
  };
}
