/**
 * Frames to bytes and back, by msgpackr. What arrives is checked against the schema before anything
 * looks at it.
 */
import { Packr } from 'msgpackr';
import { frameSchema, type Frame } from './messages.js';

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: false });

/**
 * Encodes a frame.
 *
 * @param frame the frame to send
 */
export function encodeFrame(frame: Frame): Buffer {
  return packr.pack(frame);
}

/**
 * Decodes a frame; `undefined` when the bytes are none.
 *
 * @param bytes what arrived
 */
export function decodeFrame(bytes: Uint8Array): Frame | undefined {
  try {
    const parsed = frameSchema.safeParse(packr.unpack(bytes));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
