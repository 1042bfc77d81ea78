// The mechanisms by which a silence of an engine ends no answer, and their
// proofs; played by check_proofs.mjs.
const SERVING = 'packages/gateway/dist/src/serving';

// mechanism; file; what is replaced by what; test file; its name's pattern
export const SILENCE_TRIALS = [
  [
    'silence: an attempt is left only if its route allows a retry',
    `${SERVING}/stream_retries.js`,
    'if (!this.route.isResumable)',
    'if (false)',
    'platform/silent_engines',
    'is not cut when it cannot be resumed',
  ],
  [
    'silence: the retry is taken before the next attempt is sent',
    `${SERVING}/stream_handover.js`,
    'signal.aborted || retries.takeAhead() !== undefined',
    'signal.aborted',
    'platform/next_engines',
    'as the retry budget allows',
  ],
  [
    'silence: a silent attempt is kept until the next one continues the stream',
    `${SERVING}/stream_handover.js`,
    'const isContinued = await Promise.race([',
    'const isContinued = true;\n        void Promise.race([',
    'platform/next_engines',
    'though the next engine resets it and two attempts',
  ],
  [
    'silence: a next engine that leaves events out is not taken',
    `${SERVING}/answer_gate.js`,
    "continuation === 'after-gap'",
    'false',
    'platform/next_engines',
    'leaves events out and two attempts',
  ],
  [
    'silence: two engines do not work on one stream for long',
    `${SERVING}/attempt_overlap.js`,
    'clock.wait(MAX_OVERLAP_MS',
    'clock.wait(60_000',
    'platform/next_engines',
    'is closed at the silent one before',
  ],
  [
    'silence: no stream goes on at an engine that is silent too',
    `${SERVING}/stream_handover.js`,
    "if (answer === 'answers')\n            return plan;",
    'return plan;',
    'platform/silent_engines',
    'when all engines are silent',
  ],
  [
    'silence: a host that reaches no engine hands its streams over',
    `${SERVING}/stream_handover.js`,
    'this.startRelay(silent);',
    '',
    'platform/partitioned_host',
    'get the rest of a begun stream',
  ],
  [
    'silence: a silent engine is left for one that answers',
    `${SERVING}/stream_handover.js`,
    'run.endSilent(silence)',
    'void 0',
    'platform/silent_engines',
    'runs on at an engine that answers',
  ],
  [
    'silence: a failure that proved to be none is taken back',
    `${SERVING}/lost_runs.js`,
    'run.wasMute === true',
    'false',
    'platform/silent_engines',
    'that was left does not count as failed',
  ],
];
