// Switches one mechanism off at a time, in the compiled code, and runs the
// test that is its proof: the test must fail then. Ends with 1 when a proof
// passes without its mechanism, or a mechanism is not found. It works on
// dist/ only and puts back what it changed. Run it alone: it takes minutes.
import {spawnSync} from 'node:child_process';
import {readFileSync, writeFileSync} from 'node:fs';
import {ANNOUNCEMENT_TRIALS} from './announcement_trials.mjs';
import {CHANGE_TRIALS} from './change_trials.mjs';
import {CRASH_TRIALS} from './crash_trials.mjs';
import {LIMIT_TRIALS} from './limit_trials.mjs';
import {SILENCE_TRIALS} from './silence_trials.mjs';
import {RELAY_TRIALS} from './relay_trials.mjs';
import {RESTORE_TRIALS} from './restore_trials.mjs';
import {VERSION_TRIALS} from './version_trials.mjs';

const DECISIONS = 'packages/decisions/dist/src';
const DAEMON = 'packages/daemon/dist/src';

// mechanism; file; what is replaced by what; test file; its name's pattern
const ALL_TRIALS = [
  ...ANNOUNCEMENT_TRIALS,
  ...CHANGE_TRIALS,
  ...CRASH_TRIALS,
  ...LIMIT_TRIALS,
  ...RELAY_TRIALS,
  ...SILENCE_TRIALS,
  ...RESTORE_TRIALS,
  ...VERSION_TRIALS,
  [
    'repeated tokens are dropped',
    `${DECISIONS}/answer_assembler.js`,
    'token.offset < this.next',
    'false',
    'testkit/streams',
    'sending tokens twice',
  ],
  [
    'tokens of another request are dropped',
    `${DECISIONS}/answer_assembler.js`,
    'item.request !== this.request',
    'false',
    'testkit/streams',
    "another request's",
  ],
  [
    'tokens of another generation are dropped',
    `${DECISIONS}/answer_assembler.js`,
    'item.generation !== this.generation',
    'false',
    'testkit/streams',
    'older generation',
  ],
  [
    'a missing token is a loss',
    `${DECISIONS}/answer_assembler.js`,
    'token.offset > this.next',
    'false',
    'testkit/streams',
    'leaving a token out',
  ],
  [
    'an answer without its end is a loss',
    `${DAEMON}/answer/answer_attempt.js`,
    "return { kind: 'lost', loss: loss ?? 'reset' }",
    "return { kind: 'ended', reason: 'length' }",
    'testkit/streams',
    'killed partway',
  ],
  [
    'silence is noticed',
    `${DAEMON}/answer/stall_detector.js`,
    'this.planCheck(this.parts.getLimits().probeMs)',
    'void 0',
    'testkit/streams',
    'frozen partway',
  ],
  [
    'a lost answer goes on from its text',
    `${DAEMON}/answer/answer_driver.js`,
    "(record.text ?? '')",
    "''",
    'testkit/streams',
    'killed partway',
  ],
  [
    'an answer is attached to on another host',
    `${DAEMON}/services/streams.js`,
    'this.parts.directory.open(record.endpoint, service)',
    'undefined',
    'testkit/hosts',
    'without a token redone',
  ],
  [
    'a take-over has a higher generation',
    `${DAEMON}/answer/record_finder.js`,
    'Math.max(before, own?.takeover ?? 0) + 1',
    '0',
    'testkit/hosts',
    'number had grown',
  ],
  [
    'only the owner starts a request',
    `${DECISIONS}/request_owner.js`,
    "if (id.origin === 'forged')",
    "if (true) return 'start';\n    if (id.origin === 'forged')",
    'testkit/at_most_once',
    'sent to all of them',
  ],
  [
    'an owner that is gone makes the outcome unknown',
    `${DECISIONS}/request_owner.js`,
    "return state.repeatable ? 'start' : 'refuse_unknown';\n}",
    "return 'start';\n}",
    'testkit/at_most_once',
    'once the owner is gone',
  ],
  [
    'a call that may have run is not sent again',
    `${DAEMON}/services/plain_calls.js`,
    '!hasNotRun && !request.repeatable',
    'false',
    'testkit/endpoints',
    'not repeatable once',
  ],
  [
    'a call is remembered',
    `${DAEMON}/services/plain_calls.js`,
    "this.ledger.add(request.id.id, 'sent', now)",
    'void 0',
    'testkit/endpoints',
    'an id that was answered',
  ],
  [
    'a leaving endpoint gets no work',
    `${DAEMON}/services/endpoint_directory.js`,
    '&& !record.isLeaving',
    '',
    'testkit/endpoints',
    'leaving get no new work',
  ],
  [
    'a planned stop waits for answers',
    `${DAEMON}/services/callers.js`,
    'while (this.inFlight + callers.openResponses > 0)',
    'while (false)',
    'testkit/hosts',
    'leave without cutting',
  ],
  [
    'an operation is recognised',
    `${DAEMON}/services/configuration_writer.js`,
    'if (operation !== undefined)',
    'if (false)',
    'testkit/configuration',
    'answer of the write is lost',
  ],
  [
    'the expected version is checked',
    `${DAEMON}/services/configuration_writer.js`,
    'expected !== undefined && expected !== current',
    'false',
    'testkit/configuration',
    'operators that race, and',
  ],
  [
    'a host that is cut off refuses',
    `${DECISIONS}/serving_decision.js`,
    "'refuse_cut_off'",
    "'serve'",
    'testkit/configuration',
    'cut off from all',
  ],
  [
    'changes are passed on by revision',
    `${DECISIONS}/configuration_state.js`,
    'change.revision !== this.currentRevision + 1',
    'false',
    'decisions/configuration_state',
    'never goes back',
  ],
  [
    'a lease ends by the clock of its holder',
    `${DECISIONS}/lease.js`,
    'now >= this.held.until',
    'false',
    'decisions/limits',
    'one holder at a time',
  ],
  [
    'dead hosts are tried again',
    `${DECISIONS}/membership_view.js`,
    "note.state === 'dead')",
    'false)',
    'decisions/membership_view',
    'recovers from a network partition',
  ],
  [
    'teams share the queue',
    `${DECISIONS}/fair_queue.js`,
    'Math.max(this.virtualTime, queue.lastFinishTag)',
    'this.virtualTime',
    'decisions/fair_queue',
    'shares by weight',
  ],
  [
    'a list that contradicts itself is read as leaving',
    `${DAEMON}/services/host_list.js`,
    'endpointHosts.apply(endpoint, now)',
    'endpoint',
    'testkit/endpoints',
    'leaving get no new work',
  ],
  [
    'one driver at a time',
    `${DAEMON}/answer/driver_lock.js`,
    'await previousReleased;',
    '',
    'testkit/at_most_once',
    'many times at the same',
  ],
  [
    'a caller is told that it was replaced',
    `${DAEMON}/services/streams.js`,
    'sink.fail(createTakenUp())',
    'void 0',
    'testkit/at_most_once',
    'newer connection',
  ],
  [
    'what is kept goes on for its own caller only',
    `${DECISIONS}/record_fit.js`,
    'return callerRecord === state.ownRecord',
    'return true',
    'testkit/hosts',
    'nothing of their own',
  ],
  [
    'a write is left when its driver is stopped',
    `${DAEMON}/answer/answer_driver.js`,
    'await waitUnlessAborted(written, this.stop)',
    'await written',
    'daemon/streams',
    'no longer reads',
  ],
  [
    'a refused connection says that a host is gone',
    `${DECISIONS}/membership_view.js`,
    'member.isRefusing = true',
    'void 0',
    'decisions/membership_view',
    'declares it dead sooner',
  ],
  [
    'what may have run is not said to be not run',
    `${DAEMON}/answer/answer_driver.js`,
    '!this.record.mayHaveRun)',
    'true)',
    'testkit/streams',
    'until all engines are gone',
  ],
  [
    'an engine that took nothing costs no retry',
    `${DECISIONS}/loss_response.js`,
    "loss !== 'unreachable' || !mayHaveRun",
    'true',
    'testkit/streams',
    'more of them than there are retries',
  ],
  [
    'an engine that failed is not tried before it answers',
    `${DECISIONS}/endpoint_choice.js`,
    'request.mayRetryLost ? candidates : answering',
    'candidates',
    'decisions/endpoint_choice',
    'if the request can wait',
  ],
  [
    'an order that was not taken was not sent',
    'packages/endpoints/dist/src/http_engine.js',
    'if (sent.isTaken)',
    'if (true)',
    'endpoints/http_engine',
    'before a byte was taken',
  ],
  [
    'a queue that is full refuses before anything runs',
    `${DAEMON}/services/admission.js`,
    "DECISION_ERRORS.create('queue_full'",
    "DAEMON_ERRORS.create('generation_lost'",
    'testkit/refusals',
    'under overload',
  ],
];

// With a word, only the trials whose mechanism has it.
const [word = ''] = process.argv.slice(2);
const TRIALS = ALL_TRIALS.filter(([mechanism]) => mechanism.includes(word));
let wrong = 0;
for (const [mechanism, file, from, to, test, pattern] of TRIALS) {
  const verdict = runTrial(file, from, to, test, pattern);
  if (verdict !== 'fails without it') wrong++;
  console.log(`| ${mechanism} | ${test}: ${pattern} | ${verdict} |`);
}
console.log(
  `${TRIALS.length - wrong} of ${TRIALS.length} proofs fail without their mechanism`,
);
process.exit(wrong === 0 ? 0 : 1);

function runTrial(file, from, to, test, pattern) {
  const text = readFileSync(file, 'utf8');
  if (!text.includes(from)) return 'mechanism not found';
  writeFileSync(file, text.replaceAll(from, to));
  try {
    const [name, part] = test.split('/');
    const folder = name === 'platform' ? name : `packages/${name}`;
    const path = `${folder}/dist/tests/${part}.test.js`;
    const args = [
      '--test',
      '--test-timeout=25000',
      `--test-name-pattern=${pattern}`,
      path,
    ];
    const run = spawnSync(process.execPath, args, {encoding: 'utf8'});
    const passed = Number(/^# pass (\d+)$/m.exec(run.stdout)?.[1] ?? 0);
    if (run.status !== 0) return 'fails without it';
    return passed === 0 ? 'test not found' : 'PASSES WITHOUT IT';
  } finally {
    writeFileSync(file, text);
  }
}
