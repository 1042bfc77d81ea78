/**
 * What the answers of endpoints and other hosts may cost this host: the memory
 * for those that are being read, and the log and the counter of those that
 * exceed a bound (see `ResponseWatch`).
 */
import type {ServiceContext} from '@irisdock/kernel';
import {Counter} from 'prom-client';
import type {AnswerBounds} from '../channels/endpoint_client.js';
import {REQUEST_MEMORY} from './request_memory.js';

/** Creates the bounds of this host. */
export function createAnswerBounds(context: ServiceContext): AnswerBounds {
  const {log, metrics} = context;
  const excesses = new Counter({
    name: 'irisdock_gateway_answer_excesses_total',
    help: 'Answers that were ended as their head or what is no content took too many bytes, or that waited as they have very many parts, a count, by reason.',
    labelNames: ['reason'],
    registers: [metrics],
  });
  return {
    buffers: context.find(REQUEST_MEMORY).answers,
    recordExcess: ({instanceId: endpoint, address}, reason) => {
      excesses.inc({reason});
      const sentence =
        reason === 'paced'
          ? 'An answer with very many parts waits for its turns.'
          : 'Ended an answer that brings too little.';
      log.writeInfo(sentence, {reason, endpoint, address});
    },
  };
}
