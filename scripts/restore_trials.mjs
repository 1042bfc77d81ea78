// The mechanisms by which hosts go through a restore of the store from an older
// copy, and their proofs; played by check_proofs.mjs.
const GATEWAY = 'packages/gateway/dist/src';
const DECISIONS = 'packages/decisions/dist/src';
const ADAPTER = 'platform/dist/src';
const HOSTS = 'platform/restored_store';
const PURE = 'decisions/store_revision';
const CLIENT = 'platform/store_eras';

// mechanism; file; what is replaced by what; test file; its name's pattern
export const RESTORE_TRIALS = [
  [
    'restore: the era comes before the change',
    `${DECISIONS}/store_revision.js`,
    'computeEra(era) * CHANGES_PER_ERA + change',
    'change',
    HOSTS,
    'after it lost 2',
  ],
  [
    'restore: what the store lacks is kept for a while',
    `${GATEWAY}/tables/table_follower.js`,
    'const isSettling = !lags && this.settling.isUnderWay(now);',
    'const isSettling = false;',
    HOSTS,
    'do not register again',
  ],
  [
    'restore: then it is gone',
    `${GATEWAY}/tables/restore_grace_period.js`,
    'const isRead = await readWhole();',
    'const isRead = true;',
    HOSTS,
    'do not register again',
  ],
  [
    'restore: what is settled is newer than the last change',
    `${DECISIONS}/store_revision.js`,
    'HALF_CHANGE = 0.5',
    'HALF_CHANGE = 0',
    PURE,
    'is between two changes',
  ],
  [
    'restore: a copy of an older era is replaced whole',
    `${DECISIONS}/table_replica.js`,
    'this.forgottenUpTo = Math.max(this.forgottenUpTo, revision);',
    '',
    PURE,
    'leaves no row',
  ],
  [
    'restore: leaving endpoints are remembered',
    `${GATEWAY}/services/leaving_instances.js`,
    'return this.instanceIds.has(instanceId);',
    'return false;',
    HOSTS,
    'no endpoint back',
  ],
  [
    'restore: a read over two eras starts again',
    `${ADAPTER}/store_client.js`,
    'if (era !== getEra(revision))',
    'if (false)',
    CLIENT,
    'between two pages',
  ],
  [
    'restore: a condition of an older era is a conflict',
    `${ADAPTER}/store_client.js`,
    'if (expectedEra !== computeEra(this.era))',
    'if (false)',
    CLIENT,
    'no conditional write',
  ],
  [
    'restore: an answer of an older era is dropped',
    `${ADAPTER}/store_client.js`,
    'if (era < this.era)',
    'if (false)',
    CLIENT,
    'nothing by an older era',
  ],
];
