// Guards against gateways that ignore the rate limit in a server's responses, or that each use all of it: the limit
// applies to all gateways together.
import { expect } from 'chai';
import type { ServerStandIn } from '../../stand-ins/users-platform/index.js';
import { startSignallingFleet, type SignallingFleet } from '../fixtures/signalling-fleet.js';

const LIMIT_PER_S = 4;
const WINDOW_MS = 4_000;
/** A server may get this multiple of its limit in a window, plus the slack below. */
const LIMIT_FACTOR = 1.5;
const LIMIT_SLACK = 5;
/** Time from the first response with the limit until it is enforced, in ms. */
const ENFORCED_AFTER_MS = 500;

describe('a rate limit in a server’s responses', () => {
  let fleet: SignallingFleet;

  beforeEach(async () => {
    fleet = await startSignallingFleet();
  });
  afterEach(() => fleet.close());

  const limited: readonly [what: string, ids: readonly string[], path: string][] = [
    ['a server of a plain service', ['p0'], '/any/7'],
    ['a decode engine', ['g0'], '/single/7'],
    // both, since one that has cached the shared prompt prefix would get all requests
    ['each prefill engine', ['r0', 'r1'], '/single/7'],
  ];
  for (const [what, ids, path] of limited) {
    it(`is enforced by all gateways together for ${what}, until it is withdrawn`, async () => {
      const servers = ids.map((id) => fleet.serverOf(id));
      for (const server of servers) server.say({ 'Server-Limit': String(LIMIT_PER_S) });
      await fleet.load(path, 500);
      const enforcedAt = performance.now() + ENFORCED_AFTER_MS;
      await fleet.load(path, ENFORCED_AFTER_MS + WINDOW_MS + 500);
      const allowed = (LIMIT_FACTOR * LIMIT_PER_S * WINDOW_MS) / 1_000 + LIMIT_SLACK;
      let counted = 0;
      for (const server of servers) {
        const times = server.received().filter(({ at }) => at >= enforcedAt);
        expect(countInWindow(times.map(({ at }) => at))).to.be.at.most(allowed);
        counted += times.length;
      }
      // at least half of one server's limit is used
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

/** The largest number of these times within one window. */
function countInWindow(times: readonly number[]): number {
  let most = 0;
  for (const [index, from] of times.entries()) {
    const within = times.slice(index).filter((at) => at < from + WINDOW_MS);
    most = Math.max(most, within.length);
  }
  return most;
}
