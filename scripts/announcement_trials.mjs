// The mechanisms by which hosts keep what endpoints announce in their answers,
// and their proofs; played by check_proofs.mjs.
const GATEWAY = 'packages/gateway/dist/src';
const DECISIONS = 'packages/decisions/dist/src';
const LEAVING = 'platform/announced_leaving';
const PAUSE = 'platform/requested_pause';

// mechanism; file; what is replaced by what; test file; its name's pattern
export const ANNOUNCEMENT_TRIALS = [
  [
    'announcement: an answer marks its endpoint as leaving',
    `${GATEWAY}/services/endpoint_gate.js`,
    'if (isLeaving)',
    'if (false)',
    LEAVING,
    'gets no more requests',
  ],
  [
    'announcement: a later entry does not undo leaving',
    `${GATEWAY}/services/gateway_endpoints.js`,
    "wasLeaving ? { ...entry, state: 'leaving' } : entry",
    'entry',
    LEAVING,
    'written as ready again',
  ],
  [
    'announcement: a pause is noted',
    `${GATEWAY}/services/endpoint_gate.js`,
    'if (pause !== undefined)',
    'if (false)',
    PAUSE,
    'is kept, and all',
  ],
  [
    'announcement: where all are paused it is said until when',
    `${GATEWAY}/serving/send_holds.js`,
    'if (end === undefined)',
    'if (true)',
    PAUSE,
    'of the only endpoint',
  ],
  [
    'announcement: a pause is no failure',
    `${GATEWAY}/serving/send_rules.js`,
    "kind === 'refused' && endpoints.isPaused(endpoint)",
    'false',
    PAUSE,
    'is no failure',
  ],
  [
    'announcement: a pause is never shortened',
    `${DECISIONS}/pause_request.js`,
    'Math.max(end, knownEnd ?? end)',
    'end',
    'decisions/pause_request',
    'is the latest',
  ],
];
