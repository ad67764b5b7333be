/**
 * Keeps an engine free of new work and tells when nothing runs on it any more. Two accounts must
 * agree: the holder's tally has no permits out, and a load report that the engine made after it was
 * kept free says that nothing runs or waits, since routers that could not reach the holder may use
 * the engine directly, and a new holder does not yet know its predecessor's permits.
 */
import type { ModelEngine } from '../ports/index.js';
import type { Clock } from '../task/index.js';

/** The tally of a shard's holder, as orders use it. */
export interface OrderTally {
  /** Keeps an engine free of new work, or lets work in again. */
  hold(engine: string, held: boolean): void;
  permitsOut(engine: string): number;
}

/** What waiting needs. */
export interface DrainParts {
  clock: Clock;
  engine: ModelEngine;
  tally: OrderTally;
  /** From when the tally knows what earlier holders granted, on the clock. */
  tallyCompleteAt: number;
}

/** How far an engine is. `busy` until both accounts say that nothing runs. */
export type Idleness = 'idle' | 'busy';

/** The wait for one engine. */
export interface Drain {
  /** Keeps the engine free of new work from now on, if it is not kept free already. */
  begin(): void;
  /** Lets work in again. */
  end(): void;
  /** For how long the engine has been kept free, in milliseconds; 0 when it is not. */
  heldForMs(): number;
  isHeld(): boolean;
  check(): Promise<Idleness>;
}

/**
 * Creates the wait for an engine, which takes work until `begin`.
 *
 * @param parts the two accounts
 */
export function createDrain(parts: DrainParts): Drain {
  const { clock, engine, tally } = parts;
  let heldSince: number | undefined;

  return {
    begin() {
      if (heldSince !== undefined) return;
      heldSince = clock.now();
      tally.hold(engine.id, true);
    },
    end() {
      if (heldSince === undefined) return;
      heldSince = undefined;
      tally.hold(engine.id, false);
    },
    heldForMs: () => (heldSince === undefined ? 0 : clock.now() - heldSince),
    isHeld: () => heldSince !== undefined,
    async check() {
      const askedAt = clock.now();
      if (heldSince === undefined || askedAt < parts.tallyCompleteAt) return 'busy';
      if (tally.permitsOut(engine.id) > 0) return 'busy';
      const report = await engine.load();
      if (report.isErr()) return 'busy';
      const { running, waiting, ageMs } = report.value;
      // The report was made no earlier than its age before it was asked for.
      const madeAfterHold = askedAt - ageMs >= heldSince;
      const isEmpty = running + waiting === 0 && tally.permitsOut(engine.id) === 0;
      return madeAfterHold && isEmpty ? 'idle' : 'busy';
    },
  };
}
