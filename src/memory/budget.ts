/**
 * The budget of bytes that a process holds for others, whatever holds them. What begins is refused once its size is more
 * than a part of what is free, so large things are refused first and small ones still find room beside them. What has
 * begun may grow beyond that: it is never ended for memory's sake.
 */

/** Part of the free bytes that one thing may take when it begins. */
const MAX_SHARE_OF_FREE = 0.25;

/** What holds bytes. */
export const holders = ['requests', 'bodies', 'answers', 'tunnels', 'links'] as const;

/** One of them. */
export type Holder = (typeof holders)[number];

/** Bytes that are held for one thing. */
export interface Share {
  /** Sets how many there are now. */
  set(bytes: number): void;
  /** Gives all back, for good. */
  release: () => void;
}

/** A demand for bytes. */
export interface Demand {
  holder: Holder;
  bytes: number;
}

/** The budget. */
export interface MemoryBudget {
  /**
   * Whether something that needs so many bytes may begin now.
   *
   * @param bytes all that it will hold
   */
  hasRoom: (bytes: number) => boolean;
  /** Holds bytes of something that has begun; may exceed the budget. */
  hold(demand: Demand): Share;
  /** Registers a holder that counts its bytes itself. */
  register(holder: Holder, countBytes: () => number): void;
  /** Changes the budget's size. */
  resize(totalBytes: number): void;
  total: () => number;
  /** Bytes held, by holder. */
  held(): Record<Holder, number>;
}

/**
 * Creates a budget of which nothing is held.
 *
 * @param totalBytes its size
 */
export function createMemoryBudget(totalBytes: number): MemoryBudget {
  const shares: Record<Holder, number> = {
    requests: 0,
    bodies: 0,
    answers: 0,
    tunnels: 0,
    links: 0,
  };
  const counters: { holder: Holder; countBytes: () => number }[] = [];
  let sharedBytes = 0;
  let total = totalBytes;

  function countHeld(): number {
    let bytes = sharedBytes;
    for (const { countBytes } of counters) bytes += countBytes();
    return bytes;
  }

  function add(holder: Holder, bytes: number): void {
    shares[holder] += bytes;
    sharedBytes += bytes;
  }

  return {
    hasRoom: (bytes) => bytes <= (total - countHeld()) * MAX_SHARE_OF_FREE,
    hold({ holder, bytes }) {
      let current = bytes;
      let isReleased = false;
      add(holder, bytes);

      function set(next: number): void {
        if (isReleased) return;
        add(holder, next - current);
        current = next;
      }

      return {
        set,
        release() {
          set(0);
          isReleased = true;
        },
      };
    },
    register(holder, countBytes) {
      counters.push({ holder, countBytes });
    },
    resize(bytes) {
      total = bytes;
    },
    total: () => total,
    held() {
      const held = { ...shares };
      for (const { holder, countBytes } of counters) held[holder] += countBytes();
      return held;
    },
  };
}
