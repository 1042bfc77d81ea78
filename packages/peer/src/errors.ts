/** What can go wrong between hosts. */
import {createErrorTable} from '@irisdock/kernel';

/** Error kinds between hosts. */
export const PEER_ERRORS = createErrorTable({
  peer_failed: {
    status: 503,
    outcome: 'unknown',
    message: 'The host at {address} did not answer: {detail}.',
    remedy: 'Nothing; it is tried again and others are asked.',
  },
});
