/**
 * The fault switch of a stand-in: which faults are set, and which of them the next request meets.
 */
import { z } from 'zod';

const scope = {
  /** Only requests whose path starts with this. */
  path: z.string().optional(),
  /** How many requests meet the fault; every one until it is cleared when absent. */
  count: z.number().int().positive().optional(),
};

/** Adds to a fault's own fields those that say which requests meet it. */
export function createFaultSchema<Kind extends string, Shape extends z.core.$ZodLooseShape>(
  kind: Kind,
  shape: Shape,
) {
  return z.strictObject({ kind: z.literal(kind), ...scope, ...shape });
}

/** Faults that every stand-in knows. */
export const commonFaults = [
  /** Waits before anything is done. */
  createFaultSchema('delay', { ms: z.number().nonnegative() }),
  /** Does everything at once and answers late. */
  createFaultSchema('delay-answer', { ms: z.number().nonnegative() }),
  /** Declines before anything is done. */
  createFaultSchema('unavailable', {}),
  /** Does everything, then breaks the connection in place of an answer. */
  createFaultSchema('drop-answer', {}),
  /** Breaks the connection before anything is done. */
  createFaultSchema('cut', {}),
  /** Takes all faults back. */
  z.strictObject({ kind: z.literal('none') }),
] as const;

/** A fault that every stand-in knows. */
export type CommonFault = z.infer<(typeof commonFaults)[number]>;

/** The least that any fault has. */
export interface AnyFault {
  kind: string;
  path?: string | undefined;
  count?: number | undefined;
}

/** Faults that are set at a stand-in. */
export interface FaultSwitch<Fault extends AnyFault> {
  /** Adds a fault; `none` clears them all. */
  set(fault: Fault): void;
  /** Finds the faults that a request meets, at most one of each kind, and counts them down. */
  take(path: string): Fault[];
  /** The faults that are set now. */
  list(): Fault[];
}

interface SetFault<Fault> {
  fault: Fault;
  left: number;
}

/** Creates a fault switch without faults. */
export function createFaultSwitch<Fault extends AnyFault>(): FaultSwitch<Fault> {
  let faults: SetFault<Fault>[] = [];

  return {
    set(fault) {
      if (fault.kind === 'none') faults = [];
      else faults.push({ fault, left: fault.count ?? Infinity });
    },
    take(path) {
      const met = new Map<string, Fault>();
      for (const entry of faults) {
        if (!path.startsWith(entry.fault.path ?? '')) continue;
        if (met.has(entry.fault.kind)) continue;
        entry.left -= 1;
        met.set(entry.fault.kind, entry.fault);
      }
      faults = faults.filter((entry) => entry.left > 0);
      return [...met.values()];
    },
    list: () => faults.map((entry) => entry.fault),
  };
}

/**
 * Picks a fault by kind.
 *
 * @param faults the faults that a request meets
 * @param kind the kind wanted
 */
export function findFault<Fault extends AnyFault, Kind extends Fault['kind']>(
  faults: readonly Fault[],
  kind: Kind,
): Extract<Fault, { kind: Kind }> | undefined {
  for (const fault of faults) {
    if (fault.kind === kind) return fault as Extract<Fault, { kind: Kind }>;
  }
  return undefined;
}
