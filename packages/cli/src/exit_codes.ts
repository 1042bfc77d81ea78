/** What the command's exit codes mean; the docs list the same. */

/** Exit codes by name. */
export const EXIT_CODES = {
  done: 0,
  refused: 1,
  usage: 2,
  unreachable: 3,
  conflict: 4,
  unknown: 5,
} as const;
/** An exit code. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];

/** What each code means. */
export const EXIT_MEANINGS: Readonly<Record<keyof typeof EXIT_CODES, string>> =
  {
    done: 'done',
    refused: 'the system refused; nothing was changed by the refused step',
    usage: 'wrong arguments or a file with faults; nothing was sent',
    unreachable: 'no server could be reached',
    conflict: 'somebody else changed the resource; read it and decide anew',
    unknown: 'whether the change took effect is not known; run it again',
  };
