/**
 * The paces of one service's engines: reading prompts for others, reading them between tokens that
 * are generated, and moving what was read to the engine that generates.
 */
import type { EngineRole } from '../fleet/index.js';
import { createPace, type Pace, type Work } from './pace.js';

/** How many times as long reading takes an engine that generates as well: engines are described to
 * read at half the speed then. Used until reads of both kinds were seen. */
const GENERATING_SLOWDOWN = 2;

/** The paces of one service's engines. */
export interface Paces {
  /** Whether any read has ended yet. */
  isKnown(): boolean;
  /** Time that an engine of a role takes to read, in milliseconds; 0 while nothing is known. */
  expectReadMs(role: EngineRole, work: Work): number;
  learnRead(role: EngineRole, work: Work, measuredMs: number): void;
  /** Time from the end of a read to the first event of the generating engine. */
  transfer: Pace;
}

/** Creates paces of which nothing is known. */
export function createPaces(): Paces {
  const reading = createPace();
  const direct = createPace();
  const transfer = createPace();
  return {
    isKnown: () => reading.isKnown() || direct.isKnown(),
    expectReadMs(role, work) {
      if (role === 'prefill') {
        if (reading.isKnown()) return reading.expectMs(work);
        return direct.expectMs(work) / GENERATING_SLOWDOWN;
      }
      if (direct.isKnown()) return direct.expectMs(work);
      return reading.expectMs(work) * GENERATING_SLOWDOWN;
    },
    learnRead(role, work, measuredMs) {
      (role === 'prefill' ? reading : direct).learn(work, measuredMs);
    },
    transfer,
  };
}
