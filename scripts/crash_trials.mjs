// The mechanisms by which a request that ends its endpoints is refused, and
// their proofs; played by check_proofs.mjs.
const GATEWAY = 'packages/gateway/dist/src';
const LEDGER = 'packages/decisions/dist/src/crash_ledger.js';
const TEST = 'platform/crashing_requests';

// mechanism; file; what is replaced by what; test file; its name's pattern
export const CRASH_TRIALS = [
  [
    'crash: three are enough',
    LEDGER,
    'REFUSAL_THRESHOLD = 3',
    'REFUSAL_THRESHOLD = 99',
    TEST,
    'at one host once',
  ],
  [
    'crash: what comes again is refused before it is sent',
    `${GATEWAY}/serving/request_handler.js`,
    'this.parts.crashes.isRefused(content)',
    'false',
    TEST,
    'at one host once',
  ],
  [
    'crash: all hosts are told at once',
    `${GATEWAY}/services/crash_broadcaster.js`,
    "this.sendToAll({ kind: 'crashes', crashes: part })",
    'void part',
    TEST,
    'while the store is unavailable',
  ],
  [
    'crash: the store keeps it',
    `${GATEWAY}/services/crash_store.js`,
    'this.put(key, note)',
    'void note',
    TEST,
    'after all hosts were lost',
  ],
  [
    'crash: hosts that start later read the store',
    `${GATEWAY}/services/crashes.js`,
    'records.acceptCrashes([crash])',
    'void 0',
    TEST,
    'by a host that starts later',
  ],
  [
    'crash: a lost failure domain is not held against what ran there',
    `${GATEWAY}/serving/endpoint_exit_check.js`,
    "'ended-with-domain'",
    "'ended'",
    TEST,
    'domain is lost three times',
  ],
  [
    'crash: what ran beside the cause is told apart',
    LEDGER,
    'otherSize === size',
    'false',
    'decisions/crash_ledger',
    'serves a content that ran beside',
  ],
  [
    'crash: a run to the end clears a content',
    `${GATEWAY}/serving/crash_records.js`,
    'this.publisher?.publishCleared(content)',
    'void 0',
    TEST,
    'is served once it is run to its end',
  ],
];
