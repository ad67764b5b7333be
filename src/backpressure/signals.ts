/**
 * What a backend server asks of those that send to it, as it says in the head of an answer: the adapter decodes it, once
 * for every kind of answer. Each signal binds more than the exchange that heard it: leaving binds all sends to this
 * incarnation, a pause those of this gateway, a rate limit those of all gateways together.
 */

/** What the head of one answer asks for. */
export interface ServerSignals {
  /** The server leaves: it wants nothing new until it is gone. */
  isLeaving: boolean;
  /** Time for which it wants nothing from this gateway, in milliseconds. */
  pauseMs: number | undefined;
  /** Requests a second that it takes from all gateways together, as long as its answers say so. */
  limitPerS: number | undefined;
  /** What was said and can't be read; it counts as not said. */
  unreadable: readonly UnreadableSignal[];
}

/** A signal that can't be read. */
export interface UnreadableSignal {
  signal: 'leaving' | 'pause' | 'limit';
  /** The start of what was said. */
  text: string;
}

/** Of an answer that asks for nothing. */
export const noSignals: ServerSignals = {
  isLeaving: false,
  pauseMs: undefined,
  limitPerS: undefined,
  unreadable: [],
};
