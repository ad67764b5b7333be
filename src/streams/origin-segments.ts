/**
 * Segments in which the platform stores where streams began: one row holds the records of some streams of one bucket.
 * The open segment of a bucket is written anew with each record added to it until it is full, so that the number of
 * rows follows the number of streams, however often they are written.
 */
import { randomUUID } from 'node:crypto';
import * as z from 'zod';
import { isSameOrigin, type StreamOrigin } from './messages.js';

/** Start of the keys of all segments. */
const PREFIX = 'stream-origins/';
/** Most records in a segment: what is written anew with a record stays small beside the cost of a call. */
const MAX_RECORDS = 64;
/** Most characters of the attempts in a segment, far below the largest row of the platform. */
const MAX_CHARACTERS = 16_000;

const segmentSchema = z.object({
  /** How long streams may be continued, in ms after they were recorded. */
  keepMs: z.number(),
  origins: z.array(
    z.object({ service: z.string(), version: z.string(), attempts: z.array(z.string()) }),
  ),
});

/** The value of a stored segment. */
export type StoredSegment = z.infer<typeof segmentSchema>;

/** A segment that this gateway writes. */
export interface Segment {
  key: string;
  bucket: number;
  /**
   * Adds a record, unless it is there.
   *
   * @returns false if the segment is full
   */
  add(attempt: string, origin: StreamOrigin, keepMs: number): boolean;
  size(): number;
  /** What is to be stored. */
  encode(): StoredSegment;
}

/** Start of the keys of a bucket's segments. */
export function resolveSegmentPrefix(bucket: number): string {
  return `${PREFIX}${String(bucket).padStart(2, '0')}/`;
}

/** Reads the value of a stored segment; fails with a text for what other writers have left there. */
export function parseSegment(value: unknown): z.ZodSafeParseResult<StoredSegment> {
  return segmentSchema.safeParse(value);
}

/** Creates an empty segment of a bucket, under a key that no other has. */
export function createSegment(bucket: number): Segment {
  /** One for each service and version; few. */
  const groups: { origin: StreamOrigin; attempts: Set<string> }[] = [];
  let size = 0;
  let characters = 0;
  let keepMs = 0;
  return {
    key: `${resolveSegmentPrefix(bucket)}${randomUUID()}`,
    bucket,
    add(attempt, origin, kept) {
      const group = groups.find((known) => isSameOrigin(known.origin, origin));
      if (group?.attempts.has(attempt) === true) return true;
      const isFull = size >= MAX_RECORDS || characters + attempt.length > MAX_CHARACTERS;
      // one that alone is too long for a segment has one of its own
      if (isFull && size > 0) return false;
      if (group === undefined) groups.push({ origin, attempts: new Set([attempt]) });
      else group.attempts.add(attempt);
      size += 1;
      characters += attempt.length;
      keepMs = Math.max(keepMs, kept);
      return true;
    },
    size: () => size,
    encode() {
      const origins = groups.map(({ origin: { service, version }, attempts }) => ({
        service,
        version,
        attempts: [...attempts],
      }));
      return { keepMs, origins };
    },
  };
}
