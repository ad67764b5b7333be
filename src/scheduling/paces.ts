/**
 * The paces of one service's engines: reading prompts for others, reading them between tokens that
 * are generated, and moving what was read to the engine that generates.
 */
import { z } from 'zod';
import type { EngineRole } from '../fleet/index.js';
import { createPace, resolveExpectedMs, type Pace, type Work } from './pace.js';

/** How many times as long reading takes an engine that generates as well: the platform's pages say
 * half the speed. Used until reads of both kinds were seen. */
const GENERATING_SLOWDOWN = 2;

const paceSnapshotSchema = z.object({
  weights: z.array(z.number()).readonly(),
  samples: z.number(),
});

/** What is known of a service's engines, as it is passed on between gateways. */
export const pacesSnapshotSchema = z.object({
  reading: paceSnapshotSchema,
  direct: paceSnapshotSchema,
  transfer: paceSnapshotSchema,
});

/** What is known of a service's engines, as it is passed on between gateways. */
export type PacesSnapshot = z.infer<typeof pacesSnapshotSchema>;

/** The paces of one service's engines. */
export interface Paces {
  /** Whether any read has ended yet. */
  isKnown(): boolean;
  /** Time that an engine of a role takes to read, in milliseconds; 0 while nothing is known. */
  expectReadMs(role: EngineRole, work: Work): number;
  learnRead(role: EngineRole, work: Work, measuredMs: number): void;
  /** Time from the end of a read to the first event of the generating engine. */
  transfer: Pace;
  snapshot(): PacesSnapshot;
  adopt(snapshot: PacesSnapshot): void;
}

/** Relative change of a typical read's time from which on a snapshot is worth passing on. */
const MOVED_SHARE = 0.1;
/** A read by which two snapshots are compared. */
const TYPICAL_WORK: Work = { tokens: 4_000, pairs: 16_000_000 };

/**
 * Whether a snapshot says something else than an earlier one.
 *
 * @param earlier `undefined` for none
 * @param later the newer one
 */
export function hasMoved(earlier: PacesSnapshot | undefined, later: PacesSnapshot): boolean {
  for (const kind of ['reading', 'direct', 'transfer'] as const) {
    const before = earlier === undefined ? 0 : resolveExpectedMs(earlier[kind], TYPICAL_WORK);
    const now = resolveExpectedMs(later[kind], TYPICAL_WORK);
    if (Math.abs(now - before) > MOVED_SHARE * before) return true;
  }
  return false;
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
    snapshot: () => ({
      reading: reading.snapshot(),
      direct: direct.snapshot(),
      transfer: transfer.snapshot(),
    }),
    adopt(snapshot) {
      reading.adopt(snapshot.reading);
      direct.adopt(snapshot.direct);
      transfer.adopt(snapshot.transfer);
    },
  };
}
