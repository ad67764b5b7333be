import { expect } from 'chai';
import fc from 'fast-check';
import {
  createFairQueue,
  createFairShare,
  FAIR_BAND_TOKENS,
  IDLE_CREDIT_TOKENS,
  type Subqueue,
  type WaitingRequest,
} from '../../src/permits/index.js';
import type { PermitQuery } from '../../src/links/index.js';

const noSubqueues: ReadonlySet<Subqueue> = new Set();

function createQueue(isFair = true) {
  const share = createFairShare();
  return { share, queue: createFairQueue({ share, isFair }) };
}

let ids = 0;

function createWaiting(
  query: Partial<PermitQuery>,
  more: Partial<WaitingRequest> = {},
): WaitingRequest {
  ids += 1;
  return {
    query: {
      kind: 'permit.request',
      shard: 'manuals',
      requestId: `request-${ids}`,
      attempt: 1,
      configurationVersion: 1,
      group: 'manuals',
      team: 'kumasi',
      class: 'question',
      weight: 1,
      priority: 2,
      firstTokenInMs: 1_000,
      deadlineInMs: 10_000,
      promptTokens: 100,
      expectedOutputTokens: 10,
      prefixes: [],
      repeatable: true,
      avoid: [],
      ...query,
    },
    node: 'entry-1',
    arrivedAt: 0,
    firstTokenDeadline: 1_000,
    latestGrantAt: 1_000,
    isLong: false,
    isBeyondShare: false,
    expectedWaitMs: 0,
    uncachedTokens: 100,
    server: undefined,
    answer: () => undefined,
    ...more,
  };
}

describe('the queue of a shard', () => {
  it('serves two backlogged teams by weight, within one band, one idle credit and one request', () => {
    const teams = fc.record({
      weights: fc.tuple(fc.integer({ min: 1, max: 5 }), fc.integer({ min: 1, max: 5 })),
      priorities: fc.tuple(fc.integer({ min: 0, max: 9 }), fc.integer({ min: 0, max: 9 })),
      sizes: fc.array(fc.integer({ min: 1, max: 4_000 }), { minLength: 50, maxLength: 200 }),
    });
    fc.assert(
      fc.property(teams, ({ weights, priorities, sizes }) => {
        const { queue } = createQueue();
        const served = [0, 0];
        const add = (index: 0 | 1, tokens: number) => {
          const team = `team-${index}`;
          const weight = weights[index];
          const priority = priorities[index];
          queue.add(createWaiting({ team, weight, priority, promptTokens: tokens }));
        };
        add(0, 100);
        add(1, 100);
        for (const size of sizes) {
          const waiting = queue.first(noSubqueues)?.waiting;
          if (waiting === undefined) throw new Error('nobody waits');
          const { team, weight, promptTokens: tokens } = waiting.query;
          const index = team === 'team-0' ? 0 : 1;
          queue.charge({ team, weight, tokens });
          served[index] = (served[index] ?? 0) + tokens / weight;
          add(index, size);
          queue.remove(waiting);
          const difference = Math.abs((served[0] ?? 0) - (served[1] ?? 0));
          expect(difference).to.be.at.most(FAIR_BAND_TOKENS + IDLE_CREDIT_TOKENS + 4_000);
        }
      }),
    );
  });

  it('orders requests of teams beyond their share last, even if those teams were served less', () => {
    const { queue, share } = createQueue();
    const beyond = createWaiting({ team: 'large', priority: 0 }, { isBeyondShare: true });
    const within = createWaiting({ team: 'small', priority: 3 });
    queue.add(beyond);
    queue.add(within);
    share.charge({ team: 'small', weight: 1, tokens: FAIR_BAND_TOKENS * 3 });
    expect(queue.first(noSubqueues)?.waiting).to.equal(within);
    queue.remove(within);
    expect(queue.first(noSubqueues)?.waiting).to.equal(beyond);
  });

  it('orders teams in the same band by priority', () => {
    const { queue } = createQueue();
    queue.charge({ team: 'large', weight: 1, tokens: 10 });
    const later = createWaiting({ team: 'small', priority: 3 });
    const sooner = createWaiting({ team: 'large', priority: 1 });
    queue.add(later);
    queue.add(sooner);
    expect(queue.first(noSubqueues)?.waiting).to.equal(sooner);
  });

  it('limits the credit of a team that was idle', () => {
    const { queue, share } = createQueue();
    queue.add(createWaiting({ team: 'large' }));
    queue.charge({ team: 'large', weight: 1, tokens: 50_000 });
    queue.charge({ team: 'small', weight: 1, tokens: -1_000_000 });
    queue.add(createWaiting({ team: 'small' }));
    expect(share.served('large') - share.served('small')).to.equal(IDLE_CREDIT_TOKENS);
  });

  it('orders the requests of a team by priority, then by first-token deadline', () => {
    const { queue } = createQueue();
    const last = createWaiting({ priority: 3 }, { firstTokenDeadline: 1 });
    const second = createWaiting({}, { firstTokenDeadline: 900 });
    const first = createWaiting({}, { firstTokenDeadline: 800 });
    for (const waiting of [last, second, first]) queue.add(waiting);
    const order: (WaitingRequest | undefined)[] = [];
    for (let turn = 0; turn < 3; turn += 1) {
      const waiting = queue.first(noSubqueues)?.waiting;
      order.push(waiting);
      if (waiting !== undefined) queue.remove(waiting);
    }
    expect(order).to.deep.equal([first, second, last]);
    expect(queue.size()).to.equal(0);
  });

  it('finds a request by its key, and a request whose latest grant time has passed', () => {
    const { queue } = createQueue();
    const waiting = createWaiting({ requestId: 'named' }, { latestGrantAt: 500 });
    queue.add(createWaiting({}, { latestGrantAt: 700 }));
    queue.add(waiting);
    expect(queue.find({ node: 'entry-1', requestId: 'named', attempt: 1 })).to.equal(waiting);
    expect(queue.find({ node: 'entry-2', requestId: 'named', attempt: 1 })).to.equal(undefined);
    expect(queue.expired(499)).to.equal(undefined);
    expect(queue.expired(500)).to.equal(waiting);
  });

  it('skips excluded subqueues', () => {
    const { queue } = createQueue();
    const long = createWaiting({ priority: 0 }, { isLong: true });
    const short = createWaiting({ priority: 5 });
    queue.add(long);
    queue.add(short);
    const head = queue.first(noSubqueues);
    expect(head?.waiting).to.equal(long);
    if (head === undefined) return;
    expect(queue.first(new Set([head.subqueue]))?.waiting).to.equal(short);
  });
});
