// The mechanisms by which a change is in force in time on every host, and their
// proofs; played by check_proofs.mjs.
const TABLES = 'packages/gateway/dist/src/tables';
const DECISIONS = 'packages/decisions/dist/src';
const FLEET = 'gateway/change_in_time';
const LOADER = 'gateway/peer_table_loader';

// mechanism; file; what is replaced by what; test file; its name's pattern
export const CHANGE_TRIALS = [
  [
    'change: a copy that nobody vouches for is checked',
    `${TABLES}/freshness_checker.js`,
    'if (delayMs === 0) {',
    'if (false) {',
    FLEET,
    'hears no other one',
  ],
  [
    'change: who is told of a change asks for it at once',
    `${TABLES}/update_broadcaster.js`,
    'void this.loadMissing(datagram, follower);',
    '',
    FLEET,
    'at once while nothing is wrong',
  ],
  [
    'change: readers vouch for copies while nothing changes',
    `${TABLES}/table_follower.js`,
    'if (this.isReading || update.rows.length > 0)',
    'if (update.rows.length > 0)',
    FLEET,
    'calls of three readers only',
  ],
  [
    'change: readers keep their turns apart',
    `${DECISIONS}/poll_stagger.js`,
    'SHIFT_FRACTION = 0.5',
    'SHIFT_FRACTION = 0',
    FLEET,
    'calls of three readers only',
  ],
  [
    'change: a host without a copy reads for nobody',
    `${DECISIONS}/store_readers.js`,
    "(state === 'ready' ? 0 : 1)",
    '0',
    'decisions/gateway_limits',
    'have a replica and stay',
  ],
  [
    'change: the word of a new life says nothing of the old one',
    `${DECISIONS}/host_view.js`,
    'known.record.incarnation !== incarnation',
    'false',
    'decisions/host_view',
    'mark an earlier incarnation alive',
  ],
  [
    'change: rows with the same value are told',
    `${TABLES}/table_follower.js`,
    'rows.filter((row) => row.revision > after)',
    'rows.filter((row) => row.revision > after && replica.find(row.key)?.value !== row.value)',
    FLEET,
    'ask for what follows',
  ],
  [
    'change: each table has its own sources',
    `${TABLES}/peer_table_loader.js`,
    'sources.drop(address, reported);',
    '',
    LOADER,
    'beside a lost host',
  ],
  [
    'change: a second source is asked',
    `${TABLES}/peer_table_loader.js`,
    'SECOND_SOURCE_DELAY_MS = 100',
    'SECOND_SOURCE_DELAY_MS = 10000',
    LOADER,
    'of a second host',
  ],
  [
    'change: lapsed reports are remembered',
    `${DECISIONS}/reader_reports.js`,
    'REMEMBER_MS = 60_000',
    'REMEMBER_MS = 0',
    'decisions/host_view',
    'expire among hosts',
  ],
  [
    'change: a whole read is as of its first page',
    'platform/dist/src/store_client.js',
    'revision ??= page.value.record_version;',
    'revision = page.value.record_version;',
    'platform/whole_reads',
    'the same as in the store',
  ],
  [
    'change: a copy is whole up to its revision only',
    `${DECISIONS}/table_replica.js`,
    'if (change.revision <= this.known) {',
    'if (true) {',
    'decisions/table_replica',
    'pages are of different moments',
  ],
  [
    'change: the store is asked to wait whole times',
    `${DECISIONS}/poll_stagger.js`,
    'Math.round(turnMs * turns + shiftMs)',
    'turnMs * turns + shiftMs',
    'gateway/table_follower',
    'for whole times only',
  ],
  [
    'change: a store that does not wait is not asked all the time',
    `${TABLES}/table_follower.js`,
    'hasChanged || !hasWaited',
    'hasChanged',
    'gateway/table_follower',
    'no more often than while changes come',
  ],
];
