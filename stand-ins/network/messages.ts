/**
 * Messages between `paths.ts` and its process.
 */

/** What the process is told. */
export type PathCommand =
  | { kind: 'open'; target: string }
  /** Stop listening for these servers; `isReset` resets their open connections too. */
  | { kind: 'refuse'; targets: readonly string[]; isReset: boolean }
  | { kind: 'heal' };

/** What the process answers. */
export type PathReport = { kind: 'opened'; target: string; address: string } | { kind: 'done' };
