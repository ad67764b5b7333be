/**
 * Learned rates of one backend server: time to first token by prompt tokens to prefill, inter-token
 * latency (the duration of a decode step) by batch size, and the duration of a plain service's calls.
 * Without recent measurements, the rates that the engine reports apply.
 */
import { createLineFit } from './line-fit.js';

/** Rates that an engine reports. */
export interface NominalRates {
  prefillTokensPerSecond: number;
  /** Tokens per second of each request in a full batch. */
  decodeTokensPerSecond: number;
  maxBatch: number;
}

/** Learned rates of one server. Times are milliseconds. */
export interface ServerRates {
  setNominal(nominal: NominalRates): void;
  /** Records a time to first token, with the number of prompt tokens that had to be prefilled. */
  observeFirstToken(tokens: number, ms: number, now: number): void;
  /** Records an inter-token latency, with the number of requests in the batch. */
  observeStep(batch: number, ms: number, now: number): void;
  /** Records the duration of a plain service's call. */
  observeCall(ms: number, now: number): void;
  /** Time to first token if this many prompt tokens have to be prefilled. */
  firstTokenMs(tokens: number, now: number): number;
  /** Prompt tokens that the server prefills within `ms`. */
  tokensPrefilledIn(ms: number, now: number): number;
  /** Inter-token latency in a batch of this many requests. */
  stepMs(batch: number, now: number): number;
  /** Duration of a plain service's call. */
  callMs(now: number): number;
}

/** Prompt tokens at the anchor point that stands for the reported prefill rate. */
const ANCHOR_TOKENS = 2_048;
/** Inter-token latency of a single request, as a share of that in a full batch. */
const SINGLE_REQUEST_SHARE = 0.5;
/** Duration of a plain service's call before the first measurement. */
const DEFAULT_CALL_MS = 20;
const MS_PER_SECOND = 1_000;

/** Creates the rates of a server that has not reported any. */
export function createServerRates(): ServerRates {
  const prefills = createLineFit([{ x: 0, y: 0 }]);
  const steps = createLineFit([{ x: 0, y: 0 }]);
  const calls = createLineFit([{ x: 0, y: DEFAULT_CALL_MS }]);

  return {
    setNominal({ prefillTokensPerSecond, decodeTokensPerSecond, maxBatch }) {
      const prefillMs = (ANCHOR_TOKENS * MS_PER_SECOND) / prefillTokensPerSecond;
      const fullBatchMs = MS_PER_SECOND / decodeTokensPerSecond;
      prefills.setAnchors([
        { x: 0, y: 0 },
        { x: ANCHOR_TOKENS, y: prefillMs },
      ]);
      steps.setAnchors([
        { x: 1, y: fullBatchMs * SINGLE_REQUEST_SHARE },
        { x: maxBatch, y: fullBatchMs },
      ]);
    },
    observeFirstToken(tokens, ms, now) {
      prefills.observe({ x: tokens, y: ms }, now);
    },
    observeStep(batch, ms, now) {
      steps.observe({ x: batch, y: ms }, now);
    },
    observeCall(ms, now) {
      calls.observe({ x: 0, y: ms }, now);
    },
    firstTokenMs: (tokens, now) => prefills.valueAt(tokens, now),
    tokensPrefilledIn(ms, now) {
      const { slope } = prefills.line(now);
      return slope > 0 ? ms / slope : Number.POSITIVE_INFINITY;
    },
    stepMs: (batch, now) => steps.valueAt(batch, now),
    callMs: (now) => calls.valueAt(0, now),
  };
}
