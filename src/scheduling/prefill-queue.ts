/**
 * Prompts that wait for one engine's prefill. Those that can meet their objective come first, by
 * earliest deadline; late ones use the engine when it is idle.
 */

/** A waiting prompt. */
export interface WaitingPrompt {
  /** When the prefill is due to meet the objective, its own or that of a reservation, or, if the request
   * is late, its deadline; in ms. */
  dueAt: number;
  /** The request waits although it will miss its objective. */
  isLate: boolean;
  /** Rank of its route; 0 is the most urgent. */
  rank: number;
  /** Estimated prefill time, in milliseconds. */
  prefillMs(): number;
}

/** Prompts that wait for one engine. */
export interface PrefillQueue<Item extends WaitingPrompt> {
  add(item: Item): void;
  remove(item: Item): void;
  /** Removes and returns the next prompt that can meet its objective. */
  takePunctual(): Item | undefined;
  /** Removes and returns the next late prompt. */
  takeLate(): Item | undefined;
  count(): number;
  /** Prefill time of the prompts ahead of a new one, in milliseconds. */
  workAheadMs(newcomer: WaitingPrompt): number;
  /** Prefill time of all late prompts, in milliseconds. */
  lateWorkMs(): number;
  /**
   * Whether a new prompt would make a waiting one of the same or a more urgent rank miss its objective.
   *
   * @param newcomer the new prompt
   * @param startsInMs time until the first prompt in the queue starts, in milliseconds
   * @param now the current time, in milliseconds
   */
  wouldDelay(newcomer: WaitingPrompt, startsInMs: number, now: number): boolean;
}

/** Creates an empty queue. */
export function createPrefillQueue<Item extends WaitingPrompt>(): PrefillQueue<Item> {
  const punctual: Item[] = [];
  const late: Item[] = [];

  return {
    add(item) {
      const items = item.isLate ? late : punctual;
      let index = items.length;
      while (index > 0 && isBefore(item, items[index - 1])) index -= 1;
      items.splice(index, 0, item);
    },
    remove(item) {
      const items = item.isLate ? late : punctual;
      const index = items.indexOf(item);
      if (index >= 0) items.splice(index, 1);
    },
    takePunctual: () => punctual.shift(),
    takeLate: () => late.shift(),
    count: () => punctual.length + late.length,
    workAheadMs(newcomer) {
      let sum = 0;
      for (const item of punctual) {
        if (isBefore(newcomer, item)) break;
        sum += item.prefillMs();
      }
      return sum;
    },
    lateWorkMs() {
      let sum = 0;
      for (const item of late) sum += item.prefillMs();
      return sum;
    },
    wouldDelay(newcomer, startsInMs, now) {
      let endsAt = now + startsInMs;
      const newcomerMs = newcomer.prefillMs();
      for (const item of punctual) {
        endsAt += item.prefillMs();
        if (!isBefore(newcomer, item) || item.rank > newcomer.rank) continue;
        if (endsAt + newcomerMs > item.dueAt && endsAt <= item.dueAt) return true;
      }
      return false;
    },
  };
}

/**
 * Orders by deadline, not by slack: ordering by the latest possible start would put the longest
 * prompts first and delay all others.
 */
function isBefore(item: WaitingPrompt, other: WaitingPrompt | undefined): boolean {
  return other !== undefined && item.dueAt < other.dueAt;
}
