/**
 * Latency models of one service's engines: prefill on prefill engines, local prefill on decode
 * engines, and KV cache transfer.
 */
import type { EngineRole } from '../fleet/index.js';
import { createLatencyModel, type LatencyModel, type Work } from './latency-model.js';

/** How much slower a prefill is on a decode engine, by the engines' specification; used until both
 * kinds have samples. */
const LOCAL_PREFILL_SLOWDOWN = 2;

/** Latency models of one service's engines. */
export interface LatencyModels {
  /** Whether any prefill has been observed. */
  hasSamples(): boolean;
  /** Estimated prefill time on an engine of a role, in milliseconds; 0 without samples. */
  estimatePrefillMs(role: EngineRole, work: Work): number;
  observePrefill(role: EngineRole, work: Work, measuredMs: number): void;
  /** From the end of the prefill to the first event of the decode engine. */
  transfer: LatencyModel;
}

/** Creates models without samples. */
export function createLatencyModels(): LatencyModels {
  const prefill = createLatencyModel();
  const localPrefill = createLatencyModel();
  const transfer = createLatencyModel();
  return {
    hasSamples: () => prefill.hasSamples() || localPrefill.hasSamples(),
    estimatePrefillMs(role, work) {
      if (role === 'prefill') {
        if (prefill.hasSamples()) return prefill.estimateMs(work);
        return localPrefill.estimateMs(work) / LOCAL_PREFILL_SLOWDOWN;
      }
      if (localPrefill.hasSamples()) return localPrefill.estimateMs(work);
      return prefill.estimateMs(work) * LOCAL_PREFILL_SLOWDOWN;
    },
    observePrefill(role, work, measuredMs) {
      (role === 'prefill' ? prefill : localPrefill).observe(work, measuredMs);
    },
    transfer,
  };
}
