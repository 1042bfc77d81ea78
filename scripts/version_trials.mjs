// The mechanisms by which a stream stays at the software version that began it,
// and their proofs; played by check_proofs.mjs.
const SERVING = 'packages/gateway/dist/src/serving';
const SERVICES = 'packages/gateway/dist/src/services';

// mechanism; file; what is replaced by what; test file; its name's pattern
export const VERSION_TRIALS = [
  [
    'version: a begun stream goes to engines of its version only',
    `${SERVING}/version_binding.js`,
    'return getSoftwareVersion(engine) === version',
    'return true',
    'platform/software_versions',
    'that sent its first event',
  ],
  [
    'version: other hosts know it before the caller has the first event',
    `${SERVICES}/stream_origin_client.js`,
    'this.sendOrigins(names, [record])',
    'void names',
    'gateway/stream_origins',
    'within two latencies',
  ],
  [
    'version: the report is repeated',
    `${SERVICES}/stream_origin_client.js`,
    'published.isRepeated ? [] : published.holders.keys()',
    '[]',
    'gateway/stream_origins',
    'where datagrams are lost',
  ],
  [
    'version: lost holders are replaced',
    `${SERVICES}/stream_origin_client.js`,
    'return holders.size < ORIGIN_HOLDERS',
    'return false',
    'gateway/stream_origins',
    'lost one by one',
  ],
  [
    'version: a stream whose attempt is not named is found by content',
    'packages/decisions/dist/src/origin_table.js',
    'this.contents.get(content) ?? []) {',
    '[]) {',
    'platform/software_versions',
    'no attempt is named',
  ],
  [
    'version: that of an unlisted engine is unknown',
    `${SERVING}/version_binding.js`,
    'isVersionAssumed === true',
    'false',
    'platform/software_versions',
    'former version',
  ],
  [
    'version: a relay names the attempt that began the stream',
    `${SERVING}/stream_relay.js`,
    'requestId: this.version.firstRequestId',
    'requestId: undefined',
    'platform/software_versions',
    'through another host',
  ],
  [
    'version: a stream of a split route stays at its service',
    `${SERVING}/request_handler.js`,
    "kind === 'stream' && lastEventId !== undefined",
    'false',
    'platform/software_versions',
    'service that began it',
  ],
  [
    'version: a begun stream waits for a busy engine of its version',
    `${SERVING}/stream_planner.js`,
    "isBegun && kind === 'refused'",
    'false',
    'platform/software_versions',
    'waits for room',
  ],
];
