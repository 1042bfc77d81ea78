/** What can go wrong between a daemon and an endpoint. */
import {createErrorTable} from '@irisdock/kernel';

/** Error kinds of the endpoint clients. */
export const ENDPOINT_ERRORS = createErrorTable({
  endpoint_unreachable: {
    status: 503,
    outcome: 'not-run',
    message: 'The endpoint {address} could not be reached: {detail}.',
    remedy: 'Another endpoint is tried; look at this one if it lasts.',
  },
  endpoint_cut: {
    status: 502,
    outcome: 'unknown',
    message: 'The connection to {address} ended early: {detail}.',
    remedy: 'Whether it ran is not known; ask before doing it again.',
  },
  endpoint_full: {
    status: 503,
    outcome: 'not-run',
    message: 'The endpoint {address} has no room.',
    remedy: 'Another endpoint is tried.',
  },
  endpoint_superseded: {
    status: 409,
    outcome: 'unknown',
    message: 'A newer generation has taken the request over at {address}.',
    remedy: 'Nothing; the newer one answers the caller.',
  },
  endpoint_unknown_stream: {
    status: 404,
    outcome: 'unknown',
    message: 'The endpoint {address} does not run the generation any more.',
    remedy: 'The answer is continued elsewhere.',
  },
  endpoint_stale_fence: {
    status: 409,
    outcome: 'not-run',
    message: 'The endpoint {address} has had orders with a higher fence.',
    remedy: 'Nothing; another host holds the lease on orders.',
  },
  endpoint_bad_answer: {
    status: 502,
    outcome: 'unknown',
    message: 'The endpoint {address} answered what is not agreed: {detail}.',
    remedy: 'Check the version of the endpoint.',
  },
});
/** A kind of endpoint error. */
export type EndpointErrorKind = keyof typeof ENDPOINT_ERRORS.kinds;
