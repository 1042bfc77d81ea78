// The mechanisms by which the limits that endpoints name are kept, and their
// proofs; played by check_proofs.mjs.
const GATEWAY = 'packages/gateway/dist/src';
const DECISIONS = 'packages/decisions/dist/src';
const SUM = 'platform/endpoint_limits';
const NEWCOMERS = 'platform/limit_newcomers';
const PURE = 'decisions/endpoint_limits';

// mechanism; file; what is replaced by what; test file; its name's pattern
export const LIMIT_TRIALS = [
  [
    'limit: a send needs a permit',
    `${GATEWAY}/services/send_limits.js`,
    'if (perSecond === undefined)',
    'if (perSecond !== 0)',
    SUM,
    'kept by nine hosts',
  ],
  [
    'limit: one host hands out permits for all',
    `${GATEWAY}/services/send_limits.js`,
    'const issuer = this.findIssuer(instanceId, turn);',
    'const issuer = this.parts.identity.name; this.issuers.update({names: [issuer], possiblyAlive: 1});',
    SUM,
    'used where all name one',
  ],
  [
    'limit: permits do not gather',
    `${DECISIONS}/permit_bucket.js`,
    'BURST = 2',
    'BURST = 30',
    PURE,
    'keeps the bound whatever',
  ],
  [
    'limit: begun answers go first',
    `${DECISIONS}/permit_bucket.js`,
    'begun: -MOST_BORROWED',
    'begun: 1',
    PURE,
    'begun answers first',
  ],
  [
    'limit: an answer asked for before it was named does not end it',
    `${DECISIONS}/advertised_limit.js`,
    'report.at > known.at',
    'true',
    PURE,
    'a request that follows a change',
  ],
  [
    'limit: what cannot be read is bounded',
    `${DECISIONS}/advertised_limit.js`,
    'UNREADABLE_PER_SECOND = 1',
    'UNREADABLE_PER_SECOND = 1e6',
    SUM,
    'cannot be read',
  ],
  [
    'limit: a small side of a cut gives a small part',
    `${DECISIONS}/permit_issuer.js`,
    'heard * MINOR_SIDE_FRACTION',
    '1',
    PURE,
    'both sides of a partition',
  ],
  [
    'limit: a host that has just started gives none',
    `${DECISIONS}/permit_issuer.js`,
    'START_MS = 2000',
    'START_MS = 0',
    PURE,
    'while it has just started',
  ],
  [
    'limit: the issuer tells all hosts',
    `${GATEWAY}/services/limit_publisher.js`,
    'this.parts.sendToAll(this.createDatagram(part))',
    'void part',
    SUM,
    'never heard it from',
  ],
  [
    'limit: the issuer repeats limits',
    `${GATEWAY}/services/limit_repeater.js`,
    'now - this.repeatedAt >= REPEAT_INTERVAL_MS',
    'false',
    NEWCOMERS,
    'reported again',
  ],
  [
    'limit: a silent issuer is told',
    `${GATEWAY}/services/limit_repeater.js`,
    'return reportedAt !== undefined',
    'return false',
    NEWCOMERS,
    'reported again',
  ],
  [
    'limit: a host that missed a change is told',
    `${GATEWAY}/services/send_limits.js`,
    "isIssuer && outcome === 'older'",
    'false',
    NEWCOMERS,
    'missed its end',
  ],
  [
    'limit: who was told to come back counts',
    `${DECISIONS}/retry_schedule.js`,
    'const from = Math.max(now, this.lastAt)',
    'const from = now',
    PURE,
    'retried one by one',
  ],
  [
    'limit: a limit without an answer is looked at again',
    `${GATEWAY}/services/send_limits.js`,
    'now - report.at < RECHECK_MS',
    'true',
    SUM,
    'comes and goes each second',
  ],
];
