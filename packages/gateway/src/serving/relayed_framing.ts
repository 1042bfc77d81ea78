/**
 * The framing of answers between hosts. An answer without framing ends with its
 * connection, which also ends in order when the process of the relaying host
 * exits. So such an answer crosses to the other host with a length and a mark,
 * and goes to its caller without framing again.
 */
import type {HeaderLines} from '../model/request_metadata.js';
import type {PlainAnswer} from './caller_exchange.js';
import {FRAMING_HEADER} from './host_headers.js';

const LOWER_CASE_HEADER = FRAMING_HEADER.toLowerCase();

/** Marks an answer that its endpoint sent without framing. */
export const UNFRAMED_LINE = [FRAMING_HEADER, 'none'] as const;

/** Restores the framing that the endpoint gave to a relayed answer. */
export function decodeFraming(answer: PlainAnswer): PlainAnswer {
  const lines: HeaderLines = answer.lines.filter(
    ([name]) => name.toLowerCase() !== LOWER_CASE_HEADER,
  );
  if (lines.length === answer.lines.length) return answer;
  return {...answer, lines, isFramed: false};
}
