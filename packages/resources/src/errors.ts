/** What is wrong with resources and configuration files. */
import {createErrorTable} from '@irisdock/kernel';

/** Error kinds of resources. */
export const RESOURCE_ERRORS = createErrorTable({
  unknown_kind: {
    status: 400,
    outcome: 'not-run',
    message: 'There is no resource kind {kind}.',
    remedy: 'Use one of: {kinds}.',
  },
  bad_name: {
    status: 400,
    outcome: 'not-run',
    message: 'The name {name} cannot be used.',
    remedy: '{detail}',
  },
  bad_spec: {
    status: 400,
    outcome: 'not-run',
    message: 'The spec of {kind}/{name} is not valid: {detail}.',
    remedy: 'Correct the named fields; nothing was changed.',
  },
  missing_reference: {
    status: 409,
    outcome: 'not-run',
    message: '{kind}/{name} refers to {target} in {field}, which is absent.',
    remedy: 'Create {target} first, or correct the field.',
  },
  still_referred_to: {
    status: 409,
    outcome: 'not-run',
    message: '{kind}/{name} is still referred to by {source}.',
    remedy: 'Change or delete {source} first.',
  },
  bad_file: {
    status: 400,
    outcome: 'not-run',
    message: '{place}: {detail}.',
    remedy: 'Correct the file; nothing was changed.',
  },
});
