/** What can go wrong between a daemon and the platform. */
import {createErrorTable} from '@irisdock/kernel';

/** Error kinds of the platform's clients. */
export const PLATFORM_ERRORS = createErrorTable({
  platform_unreachable: {
    status: 503,
    outcome: 'not-run',
    message: 'The platform could not be reached: {detail}.',
    remedy: 'Try again; look at the platform if it lasts.',
  },
  platform_answer_lost: {
    status: 503,
    outcome: 'unknown',
    message: 'The platform took the call but its answer was lost: {detail}.',
    remedy: 'Read whether it took effect before doing it again.',
  },
  platform_throttled: {
    status: 503,
    outcome: 'not-run',
    message: 'The platform refused the call, as too many were made.',
    remedy: 'Try again after a second.',
  },
  platform_bad_answer: {
    status: 502,
    outcome: 'unknown',
    message: 'The platform answered what is not in its protocol: {detail}.',
    remedy: 'Check the platform address and its version.',
  },
});
/** A kind of platform error. */
export type PlatformErrorKind = keyof typeof PLATFORM_ERRORS.kinds;
