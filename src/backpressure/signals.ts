/**
 * Backpressure signals that a backend server sends in the head of an answer, decoded by the adapter.
 * Leaving applies to all requests to this incarnation, a pause to those of the receiving gateway, and a
 * rate limit to those of all gateways together.
 */

/** Signals in the head of one answer. */
export interface ServerSignals {
  /** The server is draining and accepts no new requests until it is gone. */
  isLeaving: boolean;
  /** Time for which it accepts nothing from this gateway, in milliseconds. */
  pauseMs: number | undefined;
  /** Requests per second that it accepts from all gateways together, while its answers say so. */
  limitPerS: number | undefined;
  /** Signals that could not be parsed; they are otherwise ignored. */
  unreadable: readonly UnreadableSignal[];
}

/** A signal that could not be parsed. */
export interface UnreadableSignal {
  signal: 'leaving' | 'pause' | 'limit';
  /** The start of the text. */
  text: string;
}

/** An answer without signals. */
export const noSignals: ServerSignals = {
  isLeaving: false,
  pauseMs: undefined,
  limitPerS: undefined,
  unreadable: [],
};
