/**
 * Splits a server-sent event stream into complete events with their ids, so that only complete ones
 * are forwarded and a broken stream can be resumed after the last of them.
 */

/** One complete event as received, with its terminating blank line. */
export interface StreamEvent {
  id: string | undefined;
  bytes: Buffer;
}

/** Splits a stream incrementally. */
export interface EventSplitter {
  /** Adds a chunk; returns the events that it completes. */
  push(chunk: Buffer): StreamEvent[];
  /** Bytes of the last, incomplete event. */
  remainder(): Buffer;
}

const BLANK_LINE = /\r\n\r\n|\n\n|\r\r/g;
const ID_LINE = /(?:^|\n|\r)id: ?([^\r\n]*)/;

/** Creates a splitter for a new stream. */
export function createEventSplitter(): EventSplitter {
  let remainder: Buffer = Buffer.alloc(0);
  return {
    push(chunk) {
      const bytes = remainder.length === 0 ? chunk : Buffer.concat([remainder, chunk]);
      // latin1 maps each byte to one character, so indexes in the text are byte offsets
      const text = bytes.toString('latin1');
      const events: StreamEvent[] = [];
      let start = 0;
      for (const { 0: blank, index } of text.matchAll(BLANK_LINE)) {
        const end = index + blank.length;
        const id = ID_LINE.exec(text.slice(start, end))?.[1];
        events.push({ id, bytes: bytes.subarray(start, end) });
        start = end;
      }
      remainder = bytes.subarray(start);
      return events;
    },
    remainder: () => remainder,
  };
}
