import { expect } from 'chai';
import fc from 'fast-check';
import type { Team } from '../../src/configuration/index.js';
import {
  ALLOWANCE_TTL_MS,
  createTeamLimiter,
  createLimitHome,
  RENEWAL_INTERVAL_MS,
  REQUEST_BURST_MS,
  type LimitHome,
  type LimitTicket,
} from '../../src/limits/index.js';
import { teamSchema } from '../../src/configuration/objects.js';
import { createSeededRandom } from '../../src/task/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

function createTeam(limits: Team['limits']): Team {
  return teamSchema.parse({ kind: 'team', name: 'kumasi', limits });
}

/** Creates nodes and the home of one team; tests replace `control.home` to simulate its loss. */
function createNodes(team: Team, count: number) {
  const { clock, advance, runUntil } = createFakeClock();
  const openHome = () => createLimitHome({ clock, limitsOf: () => team.limits });
  const control: { home: LimitHome | undefined; draws: number } = { home: openHome(), draws: 0 };
  const nodes = Array.from({ length: count }, (_, index) =>
    createTeamLimiter({
      node: `entry-${index}`,
      clock,
      aliveCount: () => count,
      draw(draw) {
        control.draws += 1;
        return Promise.resolve(control.home?.draw(`entry-${index}`, draw));
      },
    }),
  );
  return { clock, advance, runUntil, nodes, control, openHome };
}

describe('limits of teams over all nodes', () => {
  it('keep requests per second within the documented bound over all nodes in any window', async () => {
    const input = fc.record({
      seed: fc.integer(),
      rate: fc.integer({ min: 5, max: 100 }),
      nodes: fc.integer({ min: 1, max: 9 }),
      offered: fc.integer({ min: 1, max: 4 }),
    });
    await fc.assert(
      fc.asyncProperty(input, async ({ seed, rate, nodes: count, offered }) => {
        const team = createTeam({ requestsPerSecond: rate });
        const { clock, advance, nodes, control } = createNodes(team, count);
        const random = createSeededRandom(seed);
        const passed: number[] = [];
        let refused = 0;
        const gapMs = 1_000 / (rate * offered);
        while (clock.now() < 3_000) {
          const admitted = await nodes[Math.floor(random.next() * count)]?.admit(team, 0);
          if (admitted?.isOk() === true) passed.push(clock.now());
          else refused += 1;
          await advance(gapMs);
        }
        const windowMs = 1_000;
        const burst = (rate * REQUEST_BURST_MS) / 1_000;
        const bound = (rate * (windowMs + ALLOWANCE_TTL_MS)) / 1_000 + burst;
        for (const from of passed) {
          const inside = passed.filter((at) => at >= from && at < from + windowMs).length;
          expect(inside).to.be.at.most(bound);
        }
        expect(passed.length).to.be.at.most(rate * 3 + burst + 1);
        if (offered === 1) expect(passed.length).to.be.at.least(rate * 3 * 0.8);
        expect(control.draws).to.be.at.most(passed.length + refused + count * 4);
      }),
      { numRuns: 25 },
    );
  });

  it('refuse with a Retry-After, without a draw for each request', async () => {
    const team = createTeam({ requestsPerSecond: 2 });
    const { nodes, control } = createNodes(team, 1);
    const codes: (string | undefined)[] = [];
    for (let index = 0; index < 50; index += 1) {
      const admitted = await nodes[0]?.admit(team, 0);
      codes.push(admitted?.isErr() === true ? admitted.error.code : undefined);
      if (admitted?.isErr() === true) expect(admitted.error.retryAfterMs).to.be.within(50, 500);
    }
    expect(codes.filter((code) => code === undefined).length).to.equal(2);
    expect(codes.at(-1)).to.equal('rate-limited');
    expect(control.draws).to.be.at.most(4);
  });

  it('keep concurrent requests within the limit and reuse the places of finished ones', async () => {
    const steps = fc.array(fc.record({ node: fc.nat(2), enters: fc.boolean(), ms: fc.nat(700) }), {
      minLength: 20,
      maxLength: 120,
    });
    await fc.assert(
      fc.asyncProperty(steps, async (taken) => {
        const team = createTeam({ concurrency: 5 });
        const { advance, nodes } = createNodes(team, 3);
        const running: LimitTicket[] = [];
        for (const { node, enters, ms } of taken) {
          if (!enters) running.shift()?.end(0);
          const admitted = enters ? await nodes[node]?.admit(team, 0) : undefined;
          if (admitted?.isOk() === true) running.push(admitted.value);
          if (admitted?.isErr() === true)
            expect(admitted.error.code).to.equal('concurrency-limited');
          expect(running.length).to.be.at.most(5);
          await advance(ms);
        }
        for (const ticket of running) ticket.end(0);
        await advance(2 * RENEWAL_INTERVAL_MS);
        expect((await nodes[0]?.admit(team, 0))?.isOk()).to.equal(true);
      }),
      { numRuns: 25 },
    );
  });

  it('charge estimated tokens and correct the charge when the request ends', async () => {
    const team = createTeam({ tokensPerMinute: 6_000 });
    const { advance, nodes } = createNodes(team, 1);
    const first = await nodes[0]?.admit(team, 100);
    if (first?.isOk() !== true) throw new Error('refused');
    first.value.end(1_100);
    const second = await nodes[0]?.admit(team, 100);
    expect(second?.isErr()).to.equal(true);
    if (second?.isErr() === true) expect(second.error.retryAfterMs).to.be.within(500, 3_000);
    await advance(2_500);
    expect((await nodes[0]?.admit(team, 100))?.isOk()).to.equal(true);
  });

  it('allow at most one more burst after a change of the home node', async () => {
    const team = createTeam({ requestsPerSecond: 10 });
    const { clock, advance, nodes, control, openHome } = createNodes(team, 3);
    let passed = 0;
    while (clock.now() < 4_000) {
      if (clock.now() === 2_000) control.home = openHome();
      for (const node of nodes) passed += (await node.admit(team, 0)).isOk() ? 1 : 0;
      await advance(20);
    }
    expect(passed).to.be.within(40, 10 * 4 + 2 * 10 + 3);
  });

  it('limit each node to its share while the home node is unreachable', async () => {
    const team = createTeam({ requestsPerSecond: 30 });
    const { clock, advance, nodes, control } = createNodes(team, 3);
    control.home = undefined;
    let passed = 0;
    while (clock.now() < 2_000) {
      for (const node of nodes) passed += (await node.admit(team, 0)).isOk() ? 1 : 0;
      await advance(20);
    }
    expect(passed).to.be.within(54, 30 * 2 + 30 + 3);
  });

  it('need no draws for a team without limits', async () => {
    const team = createTeam({});
    const { nodes, control } = createNodes(team, 1);
    expect((await nodes[0]?.admit(team, 1e9))?.isOk()).to.equal(true);
    expect(control.draws).to.equal(0);
  });
});
