/**
 * A log for processes under load: lines are written in the background and left out, with a count,
 * where they come faster than they are let through or than the reader takes them. Warnings and
 * errors have a rate of their own, so that a flood of ordinary lines does not hide them.
 */
import { pino } from 'pino';
import { createTokenBucket } from '../limits/token-bucket.js';
import type { Clock } from '../task/index.js';
import { eventCatalogue, type Level } from './catalogue.js';
import type { Log } from './log.js';

/** Lines a second that are let through; some lines for each of the requests that a gateway takes
 * at its ordinary peak. */
const LINES_PER_SECOND = 400;
/** Lines that may come at once. */
const LINES_AT_ONCE = 1_200;
/** Bytes that wait for the reader before lines are left out. */
const MAX_WAITING_BYTES = 1_048_576;
/** Bytes that are gathered for one write. */
const WRITE_BYTES = 8_192;
/** Longest time that a line waits to be written, in ms: what a killed process leaves out of its log. */
const FLUSH_MS = 100;
/** Time between two words on lines left out, in ms. */
const DROPPED_WORD_MS = 5_000;

/** A log with an end. */
export interface BoundedLog extends Log {
  /** Writes what waits, at the end of the process. */
  flush(): void;
}

/** What a bounded log needs. */
export interface BoundedLogParts {
  node: string;
  level: Level;
  clock: Clock;
  /** Hears of each line that was left out. */
  dropped: () => void;
}

/**
 * Creates a log that writes JSON lines to standard output.
 *
 * @param parts the node's name, the least serious level and the clock
 */
export function createBoundedLog(parts: BoundedLogParts): BoundedLog {
  const { clock } = parts;
  const destination = pino.destination({
    dest: 1,
    sync: false,
    minLength: WRITE_BYTES,
    maxLength: MAX_WAITING_BYTES,
    periodicFlush: FLUSH_MS,
  });
  destination.on('drop', parts.dropped);
  const logger = pino({ level: parts.level, base: { node: parts.node } }, destination);
  const terms = { perSecond: LINES_PER_SECOND, size: LINES_AT_ONCE };
  const ordinary = createTokenBucket(terms, clock.now());
  const serious = createTokenBucket(terms, clock.now());
  let left = 0;
  let wordAt = clock.now();

  function sayDropped(now: number): void {
    if (left === 0 || now - wordAt < DROPPED_WORD_MS) return;
    const { id, text } = eventCatalogue.logLinesDropped;
    logger.warn({ event: id, name: 'logLinesDropped', lines: left }, text);
    left = 0;
    wordAt = now;
  }

  return {
    write(event, fields = {}) {
      const entry = eventCatalogue[event];
      const now = clock.now();
      sayDropped(now);
      const isSerious = entry.level === 'warn' || entry.level === 'error';
      if ((isSerious ? serious : ordinary).take(1, 1, now) === 0) {
        left += 1;
        parts.dropped();
        return;
      }
      logger[entry.level](
        { event: entry.id, name: event, at: Math.round(now), ...fields },
        entry.text,
      );
    },
    flush() {
      destination.flushSync();
    },
  };
}
