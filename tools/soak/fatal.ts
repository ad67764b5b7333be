/**
 * Requests and parts of prompts that end each server that begins to run them, and how many servers each has ended.
 */

/** Marks a request that ends its server, in its path. */
const MARK = 'fatal-';
/** Part of prompts that ends the engine that writes an answer on it, whatever else the request holds. */
export const FATAL_PART = 'dead';
/** Servers that may end under one request: it is banned after three, and no more than three sends may follow. */
const MOST_ENDED = 6;
/** Engines that may end under one part: five, and no more than three sends may follow. */
const MOST_ENDED_BY_PART = 8;

/** Counts servers that ended under requests. */
export interface FatalCount {
  /** Path of a request that ends its server. */
  pathOf(route: string, name: string): string;
  /** Whether a request's path or prompt ends its server; counts it then. */
  ends(path: string, prompt: string): boolean;
  /** What is broken of a request that came often, by its path. */
  judge(path: string): string[];
  /** What is broken of the part. */
  judgePart(): string[];
}

/** Creates a count of nothing. */
export function createFatalCount(): FatalCount {
  const ended = new Map<string, number>();
  return {
    pathOf: (route, name) => `/${route}/${MARK}${name}`,
    ends(path, prompt) {
      const hasPart = prompt.split(',').some((part) => part.startsWith(`${FATAL_PART}:`));
      if (!hasPart && !path.includes(MARK)) return false;
      const cause = hasPart ? FATAL_PART : path;
      ended.set(cause, (ended.get(cause) ?? 0) + 1);
      return true;
    },
    judge: (path) => judgeCause(path, MOST_ENDED),
    judgePart: () => judgeCause(FATAL_PART, MOST_ENDED_BY_PART),
  };

  function judgeCause(cause: string, most: number): string[] {
    const count = ended.get(cause) ?? 0;
    return count > most ? [`${count} servers ended under ${cause}`] : [];
  }
}
