/**
 * A file that another program writes, maybe later than this process starts, and maybe not at once. Two things tell
 * whether it is whole. Its format says whether what is read may be the first part of a file: a field is missing, or the
 * last line has no end. And what is read has to stay as it is for a while, since a file that is being written may be cut
 * where it happens to make sense. A file that was last written long enough ago has already done so.
 */
import { readFileSync, statSync } from 'node:fs';
import type { Clock } from '../task/index.js';

/** Time for which a file has to stay as it is, in ms: longer than a program takes between two writes of one small file. */
const SETTLE_MS = 100;
/** The same where the last line that is used has no end, in ms: some programs end no last line, and others stop there. */
const OPEN_END_SETTLE_MS = 1_000;

/** What a format finds in a text. */
export type ParsedText<Content, Mistake> =
  | { kind: 'whole'; content: Content; isEndOpen: boolean }
  /** It may be the first part of a file. */
  | { kind: 'incomplete'; mistakes: Mistake[] }
  | { kind: 'wrong'; mistakes: Mistake[] };

/** What was read of a file. */
export type FileReading<Content, Mistake> =
  | { kind: 'missing'; reason: string }
  | { kind: 'incomplete'; text: string; mistakes: Mistake[] }
  /** It makes sense, and is to be looked at again after so many milliseconds. */
  | { kind: 'unsettled'; text: string; leftMs: number }
  | { kind: 'wrong'; text: string; mistakes: Mistake[] }
  | { kind: 'whole'; text: string; content: Content };

/** A file that is read time and again. */
export interface SettledFile<Content, Mistake> {
  readonly path: string;
  read(): FileReading<Content, Mistake>;
}

/** What reading a file needs. */
export interface SettledFileParts<Content, Mistake> {
  path: string;
  clock: Pick<Clock, 'now'>;
  /** Time of day in ms, by which the system records when a file was written. */
  timeOfDay(): number;
  parse(text: string): ParsedText<Content, Mistake>;
}

/**
 * Creates the reader of a file.
 *
 * @param parts the file, its format and clocks
 */
export function createSettledFile<Content, Mistake>(
  parts: SettledFileParts<Content, Mistake>,
): SettledFile<Content, Mistake> {
  const { path, clock } = parts;
  let known: string | undefined;
  let seenAt = 0;

  /** How long the text is known to be as it is, in ms, by readings or by the system's record. */
  function resolveUnchangedMs(text: string, writtenAt: number): number {
    if (text !== known) seenAt = clock.now();
    known = text;
    return Math.max(clock.now() - seenAt, parts.timeOfDay() - writtenAt);
  }

  return {
    path,
    read() {
      let text: string;
      let writtenAt: number;
      try {
        text = readFileSync(path, 'utf8');
        // after the text, or a write between the two would pass for an old one
        writtenAt = statSync(path).mtimeMs;
      } catch (error) {
        return { kind: 'missing', reason: String(error) };
      }
      const unchangedMs = resolveUnchangedMs(text, writtenAt);
      const parsed = parts.parse(text);
      if (parsed.kind === 'incomplete') return { ...parsed, text };
      const isEndOpen = parsed.kind === 'whole' && parsed.isEndOpen;
      const leftMs = (isEndOpen ? OPEN_END_SETTLE_MS : SETTLE_MS) - unchangedMs;
      return leftMs > 0 ? { kind: 'unsettled', text, leftMs } : { ...parsed, text };
    },
  };
}
