/** Datagrams by which hosts lend each other parts of retry budgets. */
import {TupleError, type TupleReader} from './tuple_reader.js';

/** Asks a host for a part of a retry. */
export interface LoanRequestDatagram {
  readonly kind: 'loan-ask';
  /** The host that asks. */
  readonly name: string;
  /** Identifies the request in its response; the same when it is sent again. */
  readonly number: number;
  /** The service whose retry budget is meant. */
  readonly service: string;
  /** The fraction of a retry that is missing, above 0 and at most 1. */
  readonly wanted: number;
}

/** The response to a request for a loan. */
export interface LoanResponseDatagram {
  readonly kind: 'loan-answer';
  readonly number: number;
  /** The fraction of a retry that is lent; 0 for none. */
  readonly amount: number;
}

/** A datagram about loans. */
export type LoanDatagram = LoanRequestDatagram | LoanResponseDatagram;

/** Reads the fields of a request, without the kind. */
export function readLoanRequest(fields: TupleReader): LoanRequestDatagram {
  return {
    kind: 'loan-ask',
    name: fields.readString(),
    number: fields.readNumber(),
    service: fields.readString(),
    wanted: readFraction(fields),
  };
}

/** Encodes a request as a tuple, without the kind. */
export function encodeLoanRequest(request: LoanRequestDatagram): unknown[] {
  const {name, number, service, wanted} = request;
  return [name, number, service, wanted];
}

/** Reads the fields of a response, without the kind. */
export function readLoanResponse(fields: TupleReader): LoanResponseDatagram {
  return {
    kind: 'loan-answer',
    number: fields.readNumber(),
    amount: readFraction(fields),
  };
}

/** Encodes a response as a tuple, without the kind. */
export function encodeLoanResponse(response: LoanResponseDatagram): unknown[] {
  return [response.number, response.amount];
}

function readFraction(fields: TupleReader): number {
  const fraction = fields.readNumber();
  if (fraction >= 0 && fraction <= 1) return fraction;
  throw new TupleError('a part of a retry is not between 0 and 1');
}
