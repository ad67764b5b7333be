/**
 * Exit codes of the command line.
 */

/** Exit codes; `reedtally --help` lists them. */
export const exitCodes = {
  /** Done. */
  ok: 0,
  /** The node refused it; nothing was changed unless the message says otherwise. */
  refused: 1,
  /** The command, or a file named in it, is wrong. */
  wrongUsage: 2,
  /** The node could not be reached; a change may have been made if it broke off in the middle. */
  unreachable: 3,
  /** Accepted, but not in force on every node in time. */
  notYetInForce: 4,
} as const;

/** An exit code of the command line. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/** The exit codes in words, for the help. */
export const exitCodeHelp = [
  'EXIT CODES',
  '  0  done',
  '  1  refused; the message says why and whether anything was changed',
  '  2  wrong usage, or a wrong file',
  '  3  the node could not be reached',
  '  4  accepted, but not in force on every node in time',
].join('\n');
