/**
 * Recent token demand of each engine group, refused requests included. Kept in one-second slots, so
 * that it can be averaged over any horizon up to `LONGEST_HORIZON_MS`.
 */

/** Token demand of one request. */
export interface RequestDemand {
  group: string;
  class: string;
  /** Prompt tokens that no engine had cached. */
  promptTokens: number;
  outputTokens: number;
}

/** Demand of one class. */
export interface ClassDemand {
  class: string;
  promptTokensPerSecond: number;
  outputTokensPerSecond: number;
}

/** Meter of recent demand. Times are milliseconds on one clock. */
export interface DemandMeter {
  add(request: RequestDemand, now: number): void;
  /** Mean demand by class over the last whole seconds of `horizonMs`, or since the meter started. */
  read(group: string, horizonMs: number, now: number): ClassDemand[];
}

interface Slot {
  second: number;
  promptTokens: number;
  outputTokens: number;
}

/** Demand older than this is discarded. */
export const LONGEST_HORIZON_MS = 300_000;
const SLOT_MS = 1_000;
const SLOTS = LONGEST_HORIZON_MS / SLOT_MS;

/**
 * Creates an empty meter.
 *
 * @param startedAt when it started
 */
export function createDemandMeter(startedAt: number): DemandMeter {
  const groups = new Map<string, Map<string, Slot[]>>();

  function find(request: RequestDemand): Slot[] {
    const classes = groups.get(request.group) ?? new Map<string, Slot[]>();
    groups.set(request.group, classes);
    const slots = classes.get(request.class) ?? [];
    classes.set(request.class, slots);
    return slots;
  }

  return {
    add(request, now) {
      const second = Math.floor(now / SLOT_MS);
      const slots = find(request);
      let slot = slots[second % SLOTS];
      if (slot?.second !== second) slot = { second, promptTokens: 0, outputTokens: 0 };
      slot.promptTokens += request.promptTokens;
      slot.outputTokens += request.outputTokens;
      slots[second % SLOTS] = slot;
    },
    read(group, horizonMs, now) {
      const spanMs = Math.min(horizonMs, LONGEST_HORIZON_MS, Math.max(SLOT_MS, now - startedAt));
      const demand: ClassDemand[] = [];
      for (const [name, slots] of groups.get(group) ?? []) {
        demand.push({ class: name, ...average(slots, spanMs, now) });
      }
      return demand;
    },
  };
}

function average(slots: readonly Slot[], spanMs: number, now: number): Omit<ClassDemand, 'class'> {
  // Excludes the current second, which is incomplete and would lower the mean.
  const end = Math.floor(now / SLOT_MS);
  let promptTokens = 0;
  let outputTokens = 0;
  for (let second = end - Math.floor(spanMs / SLOT_MS); second < end; second += 1) {
    const slot = slots[second % SLOTS];
    if (second < 0 || slot?.second !== second) continue;
    promptTokens += slot.promptTokens;
    outputTokens += slot.outputTokens;
  }
  const seconds = spanMs / SLOT_MS;
  return {
    promptTokensPerSecond: promptTokens / seconds,
    outputTokensPerSecond: outputTokens / seconds,
  };
}
