/**
 * The wait of a process that starts for a file that is not there yet, or not whole. It is bounded: a file that never
 * comes is a mistake of whoever starts the process, who has to be told.
 */
import { wait, type Clock } from '../task/index.js';
import type { FileReading, SettledFile } from './settled-file.js';

/** Longest wait, in ms: longer than a platform takes to write a file on a machine that is busy with its own start. */
export const LONGEST_WAIT_MS = 30_000;
/** Time between two readings, in ms. */
const POLL_MS = 50;
/** Interval between two reports of the wait, in ms. */
const REPORT_INTERVAL_MS = 5_000;

/** How the wait for a file ended; a file that is not whole ended it by its bound. */
export type AwaitedFile<Content, Mistake> =
  Exclude<FileReading<Content, Mistake>, { kind: 'unsettled' }> | { kind: 'stopped' };

/** What a wait needs. */
export interface AwaitFileParts<Content, Mistake> {
  file: SettledFile<Content, Mistake>;
  clock: Clock;
  /** Called at once, and then at an interval, while the file is missing or not whole. */
  waiting(reading: FileReading<Content, Mistake>, waitedMs: number): void;
  /** Whether the process was told to stop meanwhile. */
  isStopped(): boolean;
}

/**
 * Waits until a file is whole, whether it is right or wrong.
 *
 * @param parts the file, the clock, and who hears of the wait
 */
export async function awaitFile<Content, Mistake>(
  parts: AwaitFileParts<Content, Mistake>,
): Promise<AwaitedFile<Content, Mistake>> {
  const { file, clock } = parts;
  const startedAt = clock.now();
  let reportedAt = Number.NEGATIVE_INFINITY;
  for (;;) {
    if (parts.isStopped()) return { kind: 'stopped' };
    const reading = file.read();
    if (reading.kind === 'whole' || reading.kind === 'wrong') return reading;
    const isUnsettled = reading.kind === 'unsettled';
    const waitedMs = clock.now() - startedAt;
    if (waitedMs >= LONGEST_WAIT_MS) {
      return isUnsettled ? { kind: 'missing', reason: 'it changes all the time' } : reading;
    }
    if (!isUnsettled && clock.now() - reportedAt >= REPORT_INTERVAL_MS) {
      parts.waiting(reading, waitedMs);
      reportedAt = clock.now();
    }
    await wait(clock, isUnsettled ? Math.min(POLL_MS, reading.leftMs) : POLL_MS);
  }
}
