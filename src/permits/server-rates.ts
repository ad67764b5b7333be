/**
 * How fast one backend server works, learned from the ends of permits: the time to the first token
 * over the prompt tokens to be read until then, the time between tokens over the size of the batch,
 * and the time of a plain service's call. Until something was measured, and again when nothing has
 * been for long, the engine's own word on its rates holds.
 */
import { createLineFit } from './line-fit.js';

/** What an engine says of its own speed. */
export interface NominalRates {
  prefillTokensPerSecond: number;
  /** Tokens a second of one request in a full batch. */
  decodeTokensPerSecond: number;
  maxBatch: number;
}

/** Learned rates of one server. Times are milliseconds. */
export interface ServerRates {
  setNominal(nominal: NominalRates): void;
  /** A first token came after `ms`, with so many prompt tokens to be read until it. */
  observeFirstToken(tokens: number, ms: number, now: number): void;
  /** Tokens of one answer came `ms` apart, with so many requests in the batch. */
  observeStep(batch: number, ms: number, now: number): void;
  /** A plain service's call took `ms`. */
  observeCall(ms: number, now: number): void;
  /** Time to a first token that has so many prompt tokens to be read before it. */
  firstTokenMs(tokens: number, now: number): number;
  /** Prompt tokens that are read in `ms`. */
  tokensPrefilledIn(ms: number, now: number): number;
  /** Time between two tokens of one answer in a batch of some size. */
  stepMs(batch: number, now: number): number;
  /** Time of a plain service's call. */
  callMs(now: number): number;
}

/** Prompt length at which the nominal prefill rate is put on the line. */
const ANCHOR_TOKENS = 2_048;
/** Share of the full batch's step that one request alone is assumed to take. */
const ALONE_SHARE = 0.5;
/** Time of a plain service's call before one was seen. */
const ASSUMED_CALL_MS = 20;
const MS_PER_SECOND = 1_000;

/** Creates the rates of a server that has said nothing yet. */
export function createServerRates(): ServerRates {
  const reading = createLineFit([{ x: 0, y: 0 }]);
  const steps = createLineFit([{ x: 0, y: 0 }]);
  const calls = createLineFit([{ x: 0, y: ASSUMED_CALL_MS }]);

  return {
    setNominal({ prefillTokensPerSecond, decodeTokensPerSecond, maxBatch }) {
      const readMs = (ANCHOR_TOKENS * MS_PER_SECOND) / prefillTokensPerSecond;
      const fullMs = MS_PER_SECOND / decodeTokensPerSecond;
      reading.setAnchors([
        { x: 0, y: 0 },
        { x: ANCHOR_TOKENS, y: readMs },
      ]);
      steps.setAnchors([
        { x: 1, y: fullMs * ALONE_SHARE },
        { x: maxBatch, y: fullMs },
      ]);
    },
    observeFirstToken(tokens, ms, now) {
      reading.observe({ x: tokens, y: ms }, now);
    },
    observeStep(batch, ms, now) {
      steps.observe({ x: batch, y: ms }, now);
    },
    observeCall(ms, now) {
      calls.observe({ x: 0, y: ms }, now);
    },
    firstTokenMs: (tokens, now) => reading.valueAt(tokens, now),
    tokensPrefilledIn(ms, now) {
      const { slope } = reading.line(now);
      return slope > 0 ? ms / slope : Number.POSITIVE_INFINITY;
    },
    stepMs: (batch, now) => steps.valueAt(batch, now),
    callMs: (now) => calls.valueAt(0, now),
  };
}
