/**
 * Cuts a stream of events into whole events with their ids, so that only whole ones are passed on
 * and a stream that broke can be continued after the last of them.
 */

/** One whole event as it was on the wire, with its closing blank line. */
export interface StreamEvent {
  /** The event's id; `undefined` when it has none. */
  id: string | undefined;
  bytes: Buffer;
}

/** Cuts a stream as it arrives. */
export interface EventSplitter {
  /** Takes bytes in; returns the events that they complete. */
  push(chunk: Buffer): StreamEvent[];
  /** Bytes of an event that is not complete. */
  remainder(): Buffer;
}

const BLANK_LINE = /\r\n\r\n|\n\n|\r\r/g;
const ID_LINE = /(?:^|\n|\r)id: ?([^\r\n]*)/;

/** Creates a cutter at the start of a stream. */
export function createEventSplitter(): EventSplitter {
  let rest: Buffer = Buffer.alloc(0);
  return {
    push(chunk) {
      const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      // latin1 keeps one character a byte, so positions in the text are positions in the bytes
      const text = bytes.toString('latin1');
      const events: StreamEvent[] = [];
      let start = 0;
      for (const { 0: blank, index } of text.matchAll(BLANK_LINE)) {
        const end = index + blank.length;
        const id = ID_LINE.exec(text.slice(start, end))?.[1];
        events.push({ id, bytes: bytes.subarray(start, end) });
        start = end;
      }
      rest = bytes.subarray(start);
      return events;
    },
    remainder: () => rest,
  };
}
