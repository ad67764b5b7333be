/**
 * Requests that end each server that begins to run them, and how many servers each has ended.
 */

/** Marks a request that ends its server, in its path. */
const MARK = 'fatal-';
/** Servers that may end under one request: it is banned after three, and no more than three sends may follow. */
const MOST_ENDED = 6;

/** Counts servers that ended under requests. */
export interface FatalCount {
  /** Path of a request that ends its server. */
  pathOf(route: string, name: string): string;
  /** Whether a path is of one; counts it then. */
  ends(path: string): boolean;
  /** What is broken of a request that came often, by its path. */
  judge(path: string): string[];
}

/** Creates a count of nothing. */
export function createFatalCount(): FatalCount {
  const ended = new Map<string, number>();
  return {
    pathOf: (route, name) => `/${route}/${MARK}${name}`,
    ends(path) {
      if (!path.includes(MARK)) return false;
      ended.set(path, (ended.get(path) ?? 0) + 1);
      return true;
    },
    judge(path) {
      const count = ended.get(path) ?? 0;
      return count > MOST_ENDED ? [`${count} servers ended under ${path}`] : [];
    },
  };
}
