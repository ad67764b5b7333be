/**
 * Drains an engine: holds back new work and tells when the engine is idle. The holder must have no
 * permits out, and a load report made after the drain began must show no running or waiting
 * requests. The report is needed because routers that cannot reach the holder may use the engine
 * directly, and because a new holder does not yet know its predecessor's permits.
 */
import type { ModelEngine } from '../ports/index.js';
import type { Clock } from '../task/index.js';

/** The part of a shard holder's tally of permits that orders use. */
export interface OrderTally {
  /** Holds back new work from an engine, or admits it again. */
  hold(engine: string, held: boolean): void;
  permitsOut(engine: string): number;
}

/** Dependencies of a drain. */
export interface DrainParts {
  clock: Clock;
  engine: ModelEngine;
  tally: OrderTally;
  /** Time on the clock from which the tally includes permits granted by earlier holders. */
  tallyCompleteAt: number;
}

/** `idle` only if the tally and the load report agree that nothing runs. */
export type Idleness = 'idle' | 'busy';

/** The drain of one engine. */
export interface Drain {
  /** Begins to hold back new work, unless it is held back already. */
  begin(): void;
  /** Admits work again. */
  end(): void;
  /** Time since the drain began, in milliseconds; 0 if none is in progress. */
  heldForMs(): number;
  isHeld(): boolean;
  check(): Promise<Idleness>;
}

/**
 * Creates the drain of an engine, which takes work until `begin`.
 *
 * @param parts the engine and the tally
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
      const requestedAt = clock.now();
      if (heldSince === undefined || requestedAt < parts.tallyCompleteAt) return 'busy';
      if (tally.permitsOut(engine.id) > 0) return 'busy';
      const report = await engine.load();
      if (report.isErr()) return 'busy';
      const { running, waiting, ageMs } = report.value;
      // Counted from the request, not the answer: the earliest time at which the report can be made.
      const madeAfterHold = requestedAt - ageMs >= heldSince;
      const isEmpty = running + waiting === 0 && tally.permitsOut(engine.id) === 0;
      return madeAfterHold && isEmpty ? 'idle' : 'busy';
    },
  };
}
