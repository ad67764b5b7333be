/**
 * Demand for each engine group, in tokens, over the last seconds: everything that was asked for,
 * refused or not. Kept in slots of a second, so that any horizon can be looked at.
 */

/** Tokens of one request. */
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

/** What was asked for lately. Times are milliseconds on one clock. */
export interface DemandMeter {
  add(asked: RequestDemand, now: number): void;
  /** Mean demand over the last whole seconds of `horizonMs`, or of what was seen, by class. */
  read(group: string, horizonMs: number, now: number): ClassDemand[];
}

interface Slot {
  second: number;
  promptTokens: number;
  outputTokens: number;
}

/** Demand older than this is forgotten. */
export const LONGEST_HORIZON_MS = 300_000;
const SLOT_MS = 1_000;
const SLOTS = LONGEST_HORIZON_MS / SLOT_MS;

/**
 * Creates a meter that has seen nothing.
 *
 * @param startedAt when it began to look
 */
export function createDemandMeter(startedAt: number): DemandMeter {
  const groups = new Map<string, Map<string, Slot[]>>();

  function find(asked: RequestDemand): Slot[] {
    const classes = groups.get(asked.group) ?? new Map<string, Slot[]>();
    groups.set(asked.group, classes);
    const slots = classes.get(asked.class) ?? [];
    classes.set(asked.class, slots);
    return slots;
  }

  return {
    add(asked, now) {
      const second = Math.floor(now / SLOT_MS);
      const slots = find(asked);
      let slot = slots[second % SLOTS];
      if (slot?.second !== second) slot = { second, promptTokens: 0, outputTokens: 0 };
      slot.promptTokens += asked.promptTokens;
      slot.outputTokens += asked.outputTokens;
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
  // The second that has just begun would count as one in which little was asked for.
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
