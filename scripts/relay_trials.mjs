// The mechanisms by which a host without endpoints serves its callers, and their
// proofs; played by check_proofs.mjs.
const SERVING = 'packages/gateway/dist/src/serving';

// mechanism; file; what is replaced by what; test file; its name's pattern
export const RELAY_TRIALS = [
  [
    'relay: a host notices that it is partitioned',
    `${SERVING}/endpoint_paths.js`,
    'path.isPartitioned = true',
    'path.isPartitioned = false',
    'platform/partitioned_host',
    'are served through other hosts',
  ],
  [
    'relay: a partitioned host counts no crash',
    `${SERVING}/endpoint_exit_check.js`,
    "return 'partitioned'",
    "return 'ended'",
    'platform/partitioned_host',
    'counts no crashes',
  ],
  [
    'relay: a host that cannot serve declines',
    `${SERVING}/request_handler.js`,
    'HOST_REFUSALS.has(error.kind)',
    'false',
    'platform/relayed_requests',
    'goes to the next host',
  ],
  [
    'relay: what may have run is sent to no other host',
    `${SERVING}/relayed_call.js`,
    'if (mayHaveRun)',
    'if (false)',
    'gateway/relayed_call',
    'when it may have run',
  ],
  [
    'relay: a silent host is left only for one that goes on',
    `${SERVING}/relay_handover.js`,
    "if (result === undefined || result.kind === 'ended')",
    'if (true)',
    'gateway/silent_relay_hosts',
    'though the next one declines it and one retry',
  ],
  [
    'relay: a host that leaves events out does not take over',
    `${SERVING}/answer_gate.js`,
    "if (continuation === 'after-gap')",
    'if (false)',
    'gateway/silent_relay_hosts',
    'though the next one leaves events out and one retry',
  ],
  [
    'relay: a retry is taken for each host that goes on',
    `${SERVING}/relay_handover.js`,
    'this.hasRetry ||= retries.take()',
    'this.hasRetry = true',
    'gateway/silent_relay_hosts',
    'for one that continues it',
  ],
];
