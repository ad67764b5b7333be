/**
 * The paces of one service's engines: reading prompts for others, reading them between tokens that
 * are generated, and moving what was read to the engine that generates.
 */
import type { EngineRole } from '../fleet/index.js';
import { createLatencyModel, type LatencyModel, type Work } from './latency-model.js';

/** How many times as long reading takes an engine that generates as well: engines are described to
 * read at half the speed then. Used until reads of both kinds were seen. */
const GENERATING_SLOWDOWN = 2;

/** The paces of one service's engines. */
export interface LatencyModels {
  /** Whether any read has ended yet. */
  hasSamples(): boolean;
  /** Time that an engine of a role takes to read, in milliseconds; 0 while nothing is known. */
  estimatePrefillMs(role: EngineRole, work: Work): number;
  observePrefill(role: EngineRole, work: Work, measuredMs: number): void;
  /** Time from the end of a read to the first event of the generating engine. */
  transfer: LatencyModel;
}

/** Creates paces of which nothing is known. */
export function createLatencyModels(): LatencyModels {
  const reading = createLatencyModel();
  const direct = createLatencyModel();
  const transfer = createLatencyModel();
  return {
    hasSamples: () => reading.hasSamples() || direct.hasSamples(),
    estimatePrefillMs(role, work) {
      if (role === 'prefill') {
        if (reading.hasSamples()) return reading.estimateMs(work);
        return direct.estimateMs(work) / GENERATING_SLOWDOWN;
      }
      if (direct.hasSamples()) return direct.estimateMs(work);
      return reading.estimateMs(work) * GENERATING_SLOWDOWN;
    },
    observePrefill(role, work, measuredMs) {
      (role === 'prefill' ? reading : direct).observe(work, measuredMs);
    },
    transfer,
  };
}
