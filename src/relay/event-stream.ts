/**
 * Splits a server-sent event stream into complete events with their ids, so that only complete ones
 * are forwarded and a broken stream can be resumed after the last of them.
 */
import { createByteBuffer } from '../ports/byte-buffer.js';

/** One complete event as received, with its terminating blank line. */
export interface StreamEvent {
  id: string | undefined;
  bytes: Buffer;
}

/** Splits a stream incrementally. */
export interface EventSplitter {
  /** Adds a chunk; returns the events that it completes. */
  push(chunk: Buffer): StreamEvent[];
  /** Bytes of the last event so far, which is not complete. */
  waitingBytes(): number;
}

/** Size up to which an event is waited for, in bytes. */
export const MAX_EVENT_BYTES = 256 * 1024;

/** Bytes before a piece that may belong to a blank line which ends in it. */
const BLANK_LINE_BYTES = 3;

const BLANK_LINE = /\r\n\r\n|\n\n|\r\r/g;
const ID_LINE = /(?:^|\n|\r)id: ?([^\r\n]*)/;

/** Creates a splitter for a new stream. */
export function createEventSplitter(): EventSplitter {
  const waiting = createByteBuffer();
  /** The last bytes of what waits. */
  let tail: Buffer = Buffer.alloc(0);

  function keep(bytes: Buffer): void {
    waiting.append(bytes);
    tail = Buffer.concat([tail, bytes.subarray(-BLANK_LINE_BYTES)]).subarray(-BLANK_LINE_BYTES);
  }

  function takeAll(): Buffer {
    tail = Buffer.alloc(0);
    return waiting.take();
  }

  function split(bytes: Buffer): StreamEvent[] {
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
    keep(bytes.subarray(start));
    return events;
  }

  return {
    push(chunk) {
      if (waiting.size() === 0) return split(chunk);
      // all that waits is put together once an event is complete, not with each piece
      const mayEnd = Buffer.concat([tail, chunk]).toString('latin1').search(BLANK_LINE) >= 0;
      keep(chunk);
      return mayEnd ? split(takeAll()) : [];
    },
    waitingBytes: () => waiting.size(),
  };
}
