/**
 * What servers of the soak ask for in their answers, and how the gateways keep to it, from the servers' side alone.
 */

const WINDOW_MS = 4_000;
/** A server that names a limit gets at most so many times what it allows in a window, and a few requests more. */
const LIMIT_FACTOR = 1.5;
const LIMIT_SLACK = 5;
/** A gateway counts from so long after an answer has told it, in ms. */
const TOLD_MS = 500;
/** Requests that may reach a server from a gateway within the rest that it has asked for. */
const REST_SLACK = 2;
/** Time after which a gateway that was told sends nothing more to a server that leaves, in ms. */
const DRAIN_MS = 2_000;

/** What a server asks for. */
export interface Asks {
  limitPerS?: number;
  isLeaving?: boolean;
  /** It turns requests away and asks for so much rest, in seconds. */
  restS?: number;
}

/** Servers that ask for something. */
export interface AskingServers {
  /** A server asks for something from now on, or for nothing more. */
  set(server: string, asks: Asks | undefined): void;
  /** A request of a gateway has come; gives what the answer's head says. */
  arrived(server: string, gateway: string): Record<string, string>;
  /** Whether a server turns requests away. */
  isPaused(server: string): boolean;
  /** What is broken, of what was asked for since the last judgement. */
  judge(): string[];
}

interface Arrival {
  at: number;
  gateway: string;
}

interface Asking {
  asks: Asks;
  /** When an answer first told each gateway, or told it last for a rest. */
  toldAt: Map<string, number>;
  arrivals: Arrival[];
  /** Requests of each gateway within its present rest. */
  inRest: Map<string, number>;
}

/** Creates servers that ask for nothing. */
export function createAskingServers(): AskingServers {
  const asking = new Map<string, Asking>();
  let broken: string[] = [];

  function close(server: string, { asks, toldAt, arrivals }: Asking): void {
    const told = arrivals.filter(({ at, gateway }) => at >= (toldAt.get(gateway) ?? at) + TOLD_MS);
    const { limitPerS, isLeaving } = asks;
    if (limitPerS !== undefined) {
      const allowed = (LIMIT_FACTOR * limitPerS * WINDOW_MS) / 1_000 + LIMIT_SLACK;
      const most = countInWindow(told.map(({ at }) => at));
      if (most > allowed) broken.push(`${server} got ${most} requests in a window of its limit`);
    }
    if (isLeaving !== true) return;
    const late = told.filter(({ at, gateway }) => at > (toldAt.get(gateway) ?? at) + DRAIN_MS);
    if (late.length > 0) broken.push(`${server} got ${late.length} requests after it said it left`);
  }

  function noteRest(server: string, { toldAt, inRest }: Asking, gateway: string): void {
    const now = performance.now();
    const since = now - (toldAt.get(gateway) ?? Number.NEGATIVE_INFINITY);
    const restMs = (asking.get(server)?.asks.restS ?? 0) * 1_000;
    if (since >= restMs) inRest.delete(gateway);
    else if (since >= TOLD_MS) inRest.set(gateway, (inRest.get(gateway) ?? 0) + 1);
    const count = inRest.get(gateway) ?? 0;
    if (count === REST_SLACK + 1) broken.push(`${server} got requests of ${gateway} in its rest`);
    if (since >= restMs) toldAt.set(gateway, now);
  }

  return {
    set(server, asks) {
      const before = asking.get(server);
      if (before !== undefined) close(server, before);
      asking.delete(server);
      if (asks === undefined) return;
      asking.set(server, { asks, toldAt: new Map(), arrivals: [], inRest: new Map() });
    },
    arrived(server, gateway) {
      const known = asking.get(server);
      if (known === undefined) return {};
      const { asks, toldAt, arrivals } = known;
      arrivals.push({ at: performance.now(), gateway });
      if (asks.restS !== undefined) noteRest(server, known, gateway);
      else if (!toldAt.has(gateway)) toldAt.set(gateway, performance.now());
      return renderHeaders(asks);
    },
    isPaused: (server) => asking.get(server)?.asks.restS !== undefined,
    judge() {
      for (const [server, known] of asking) close(server, known);
      asking.clear();
      const found = broken;
      broken = [];
      return found;
    },
  };
}

function renderHeaders({ limitPerS, isLeaving, restS }: Asks): Record<string, string> {
  return {
    ...(limitPerS !== undefined && { 'Server-Limit': String(limitPerS) }),
    ...(isLeaving === true && { 'Server-Leaving': '1' }),
    ...(restS !== undefined && { 'Retry-After': String(restS) }),
  };
}

/** Most of these times that fall into one window. */
function countInWindow(times: readonly number[]): number {
  let most = 0;
  for (const [index, from] of times.entries()) {
    most = Math.max(most, times.slice(index).filter((at) => at < from + WINDOW_MS).length);
  }
  return most;
}
