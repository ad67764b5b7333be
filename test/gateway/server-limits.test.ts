// Two engines named a limit of 12 requests a second in their answers and went on getting some 30 each, for as long as
// they said so. No gateway read the word: at the second at which it came, the scheduling gateway placed at the same rate
// as before, and the logs had no line on it. A gateway that went by the word alone would not have been enough, since the
// limit is for all gateways together ("137 requests in 4 s; allowed 54").
import { expect } from 'chai';
import type { ServerStandIn } from '../../stand-ins/users-platform/index.js';
import { startSignallingFleet, type SignallingFleet } from '../fixtures/signalling-fleet.js';

const LIMIT_PER_S = 4;
const WINDOW_MS = 4_000;
/** A server gets at most so many times what its limit allows in a window, and a few requests more. */
const LIMIT_FACTOR = 1.5;
const LIMIT_SLACK = 5;
/** A gateway counts from so long after it has heard the limit on, in ms. */
const TOLD_MS = 500;

describe('a limit that a server names in its answers', () => {
  let fleet: SignallingFleet;

  beforeEach(async () => {
    fleet = await startSignallingFleet();
  });
  afterEach(() => fleet.close());

  const limited: readonly [what: string, ids: readonly string[], path: string][] = [
    ['a server of a plain service', ['p0'], '/any/7'],
    ['an engine that generates', ['g0'], '/single/7'],
    // both, since one alone takes all once it has the shared parts of the prompts cached
    ['each engine that reads prompts', ['r0', 'r1'], '/single/7'],
  ];
  for (const [what, ids, path] of limited) {
    it(`holds for all gateways together at ${what}, and ends with it`, async () => {
      const servers = ids.map((id) => fleet.serverOf(id));
      for (const server of servers) server.say({ 'Server-Limit': String(LIMIT_PER_S) });
      await fleet.load(path, 500);
      const toldAt = performance.now() + TOLD_MS;
      await fleet.load(path, TOLD_MS + WINDOW_MS + 500);
      const allowed = (LIMIT_FACTOR * LIMIT_PER_S * WINDOW_MS) / 1_000 + LIMIT_SLACK;
      let counted = 0;
      for (const server of servers) {
        const times = server.received().filter(({ at }) => at >= toldAt);
        expect(countInWindow(times.map(({ at }) => at))).to.be.at.most(allowed);
        counted += times.length;
      }
      // half of what one takes is used while callers come
      expect(counted).to.be.at.least((LIMIT_PER_S * WINDOW_MS) / 2_000);
      for (const server of servers) server.say({});
      const before = countReceived(servers);
      await fleet.load(path, 2_000);
      expect(countReceived(servers) - before).to.be.at.least(4 * LIMIT_PER_S);
    }).timeout(25_000);
  }
});

function countReceived(servers: readonly ServerStandIn[]): number {
  let count = 0;
  for (const server of servers) count += server.received().length;
  return count;
}

/** Most of these times that fall into one window. */
function countInWindow(times: readonly number[]): number {
  let most = 0;
  for (const [index, from] of times.entries()) {
    const within = times.slice(index).filter((at) => at < from + WINDOW_MS);
    most = Math.max(most, within.length);
  }
  return most;
}
