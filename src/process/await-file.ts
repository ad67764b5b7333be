/**
 * The wait of a process that starts for a file that is not there yet, or not whole. It is bounded: a file that never
 * comes is a mistake of whoever starts the process, who has to hear of it.
 */
import { wait, type Clock } from '../task/index.js';
import type { FileReading, SettledFile } from './settled-file.js';

/** Longest wait, in ms: longer than a platform takes to write a file on a machine that is busy with its own start. */
export const LONGEST_WAIT_MS = 30_000;
/** Time between two readings, in ms. */
const POLL_MS = 50;
/** Time between two words on the wait, in ms. */
const WORD_MS = 5_000;

/** How the wait for a file ended; a file that is not whole ended it by its bound. */
export type AwaitedFile<Content, Mistake> =
  Exclude<FileReading<Content, Mistake>, { kind: 'unsettled' }> | { kind: 'stopped' };

/** What a wait needs. */
export interface AwaitFileParts<Content, Mistake> {
  file: SettledFile<Content, Mistake>;
  clock: Clock;
  /** Hears at once, and then now and then, of a file that is not there or not whole. */
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
  let wordAt = Number.NEGATIVE_INFINITY;
  for (;;) {
    if (parts.isStopped()) return { kind: 'stopped' };
    const reading = file.read();
    if (reading.kind === 'whole' || reading.kind === 'wrong') return reading;
    const isUnsettled = reading.kind === 'unsettled';
    const waitedMs = clock.now() - startedAt;
    if (waitedMs >= LONGEST_WAIT_MS) {
      return isUnsettled ? { kind: 'missing', reason: 'it changes all the time' } : reading;
    }
    if (!isUnsettled && clock.now() - wordAt >= WORD_MS) {
      parts.waiting(reading, waitedMs);
      wordAt = clock.now();
    }
    await wait(clock, isUnsettled ? Math.min(POLL_MS, reading.leftMs) : POLL_MS);
  }
}
