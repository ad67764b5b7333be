import { expect } from 'chai';
import fc from 'fast-check';
import { Err, Ok } from 'ts-results-es';
import {
  claimRowKey,
  createClaims,
  createClaimSweep,
  createBatchWriter,
  parseClaimRow,
  type Claim,
  type ClaimAnswer,
  type ClaimRequest,
} from '../../src/claims/index.js';
import { createUnknownOutcome, createRefusal } from '../../src/errors/index.js';
import { createSilentLog } from '../../src/events/index.js';
import { createMetrics } from '../../src/metrics/index.js';
import type { ObjectStore, ServiceAnswer } from '../../src/ports/index.js';
import { createFakeClock, settle } from '../fixtures/fake-clock.js';
import { createMemoryTable, type TransactionFault } from '../fixtures/memory-table.js';

const MAX_INLINE_BYTES = 16;
const RETENTION_MS = 86_400_000;

const storeFailure = createRefusal({
  code: 'object-store-unavailable',
  message: 'down',
  step: 'claim.settle',
  peer: 'objects',
});
const notSent = createRefusal({
  code: 'backend-server-unreachable',
  message: 'never connected',
  step: 'service.call',
  peer: 'w1',
});
const answerLost = createUnknownOutcome({ ...notSent, code: 'answer-incomplete' });

function createObjects() {
  const stored = new Map<string, Uint8Array>();
  const control = { stored, down: false };
  const store: ObjectStore = {
    put(key, bytes) {
      if (control.down) return Promise.resolve(Err(storeFailure));
      stored.set(key, bytes);
      return Promise.resolve(Ok(undefined));
    },
    get: (key) => Promise.resolve(control.down ? Err(storeFailure) : Ok(stored.get(key))),
    delete(key) {
      stored.delete(key);
      return Promise.resolve(Ok(undefined));
    },
  };
  return { store, control };
}

function setUp() {
  const { table, control } = createMemoryTable();
  const objects = createObjects();
  const time = createFakeClock();
  const endedLeases = new Set<string>();
  let ids = 0;
  const createNode = (node: string) =>
    createClaims({
      table,
      objectStore: objects.store,
      writer: createBatchWriter({ table, clock: time.clock, gatherMs: 2, maxPerTransaction: 8 }),
      clock: time.clock,
      log: createSilentLog(),
      metrics: createMetrics(),
      node,
      incarnation: `${node}#1`,
      maxInlineBytes: MAX_INLINE_BYTES,
      createId: () => `id${(ids += 1)}`,
      wallClock: () => time.clock.now(),
      hasLeaseEnded: (claimer) => Promise.resolve(endedLeases.has(claimer)),
    });
  const request = (overrides: Partial<ClaimRequest> = {}): ClaimRequest => {
    return { team: 'kumasi', key: 'k', requestId: `r${(ids += 1)}`, bodyHash: 'h', ...overrides };
  };
  const readRow = () =>
    parseClaimRow(control.rows.get(claimRowKey({ team: 'kumasi', key: 'k' }))?.value);
  return { table, control, objects, ...time, endedLeases, createNode, request, readRow };
}

function createAnswer(text: string, status = 200): ServiceAnswer {
  return { status, contentType: 'text/plain', body: Buffer.from(text) };
}

function claimOf(answer: ClaimAnswer): Claim {
  if (answer.kind !== 'claimed') throw new Error(`not claimed: ${JSON.stringify(answer)}`);
  return answer.claim;
}

function textOf(answer: ClaimAnswer | undefined): string {
  if (answer?.kind === 'answered') return Buffer.from(answer.answer.body).toString();
  return answer?.kind === 'refused' ? answer.failure.code : (answer?.kind ?? 'nothing');
}

describe('claims', () => {
  it('returns the stored answer at any node, error responses included', async () => {
    const { createNode, request, runUntil } = setUp();
    const [one, two] = [createNode('n1'), createNode('n2')];
    for (const [key, status] of [
      ['short', 200],
      ['an answer that is long', 200],
      ['error', 500],
    ] as const) {
      const claim = claimOf(await runUntil(one.claim(request({ key }))));
      await runUntil(one.settle(claim, Ok(createAnswer(key, status))));
      const again = await runUntil(two.claim(request({ key })));
      expect(textOf(again)).to.equal(key);
      expect(again).to.have.nested.property('answer.status', status);
    }
    const other = await runUntil(two.claim(request({ key: 'short', bodyHash: 'other' })));
    expect(textOf(other)).to.equal('idempotency-key-reused');
  });

  it('retries storing a large answer until the object store accepts it', async () => {
    const { createNode, request, runUntil, advance, objects } = setUp();
    const [one, two] = [createNode('n1'), createNode('n2')];
    objects.control.down = true;
    const claim = claimOf(await runUntil(one.claim(request())));
    await runUntil(one.settle(claim, Ok(createAnswer('an answer that is long'))));
    expect(textOf(await runUntil(two.claim(request())))).to.equal('in-progress');
    objects.control.down = false;
    await advance(2_500);
    expect(textOf(await runUntil(two.claim(request())))).to.equal('an answer that is long');
  });

  it('never changes an unknown outcome to not-run', async () => {
    const { createNode, request, runUntil, advance, endedLeases } = setUp();
    const [one, two] = [createNode('n1'), createNode('n2')];
    const claim = claimOf(await runUntil(one.claim(request())));
    endedLeases.add('n1');
    expect(textOf(await runUntil(two.claim(request())))).to.equal('outcome-unknown');
    await runUntil(one.settle(claim, Err(notSent)));
    await advance(3_000);
    expect(textOf(await runUntil(two.claim(request())))).to.equal('outcome-unknown');
  });

  it('does not say not-run of a key that another call has claimed when that claim cannot be read', async () => {
    const { createNode, request, runUntil, control } = setUp();
    const [one, two] = [createNode('n1'), createNode('n2')];
    await runUntil(one.claim(request()));
    const reads = control.reads;
    control.failReads = 1;
    const answer = await runUntil(two.claim(request()));
    expect(control.reads).to.equal(reads + 1);
    expect(answer).to.have.nested.property('failure.outcome', 'unknown');
    expect(answer).to.have.nested.property('failure.retryAfterMs', 1_000);
    expect(textOf(await runUntil(two.claim(request())))).to.equal('in-progress');
  });

  it('replaces an unknown outcome with the answer', async () => {
    const { createNode, request, runUntil, advance, endedLeases } = setUp();
    const [one, two] = [createNode('n1'), createNode('n2')];
    const claim = claimOf(await runUntil(one.claim(request())));
    endedLeases.add('n1');
    await runUntil(two.claim(request()));
    await runUntil(one.settle(claim, Ok(createAnswer('page'))));
    await advance(3_000);
    expect(textOf(await runUntil(two.claim(request())))).to.equal('page');
  });

  it('shares the answer of a running call with concurrent calls at this node', async () => {
    const { createNode, request, runUntil } = setUp();
    const one = createNode('n1');
    expect(one.join(request())).to.equal(undefined);
    const claim = claimOf(await runUntil(one.claim(request())));
    const joined = one.join(request());
    expect(textOf(await one.join(request({ bodyHash: 'other' })))).to.equal(
      'idempotency-key-reused',
    );
    await runUntil(one.settle(claim, Ok(createAnswer('page'))));
    expect(textOf(await joined)).to.equal('page');
    expect(one.join(request())).to.equal(undefined);
  });

  it('ends background tasks when stopped', async () => {
    const { createNode, request, runUntil, advance, control } = setUp();
    const one = createNode('n1');
    control.disturb('late-then-down');
    expect(textOf(await runUntil(one.claim(request())))).to.equal('claims-unavailable');
    const before = control.reads;
    await advance(3_000);
    expect(control.reads).to.be.greaterThan(before);
    await runUntil(one.stop(500));
    const after = control.reads;
    await advance(60_000);
    expect(control.reads).to.equal(after);
  });

  it('stores pending outcomes before it stops', async () => {
    const { createNode, request, runUntil, control, readRow } = setUp();
    const one = createNode('n1');
    const claim = claimOf(await runUntil(one.claim(request())));
    control.down = true;
    await runUntil(one.settle(claim, Ok(createAnswer('page'))));
    control.down = false;
    await runUntil(one.stop(5_000));
    expect(readRow()?.state).to.equal('answered');
  });

  /** One attempt: its node, the faults of its writes and its outcome. */
  const anyAttempt = fc.record({
    node: fc.constantFrom('n1', 'n2'),
    faults: fc.array(
      fc.constantFrom<TransactionFault | 'none'>(
        'none',
        'unavailable',
        'unknown-after-effect',
        'unknown-without-effect',
        'late',
      ),
      { maxLength: 3 },
    ),
    outcome: fc.constantFrom('answered', 'not-sent', 'lost', 'node dies'),
    landLate: fc.boolean(),
    waitMs: fc.constantFrom(0, 1, 5, 1_500),
  });

  it('runs a key at most once and gives consistent answers under node and table faults', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(anyAttempt, { minLength: 1, maxLength: 7 }), async (attempts) => {
        const { createNode, request, advance, control, endedLeases } = setUp();
        const nodes = new Map([
          ['n1', createNode('n1')],
          ['n2', createNode('n2')],
        ]);
        const executedIds: string[] = [];
        const answeredUnknown: string[] = [];
        const answers: ClaimAnswer[] = [];
        const run = async (item: (typeof attempts)[number]) => {
          const claims = nodes.get(item.node);
          if (claims === undefined || endedLeases.has(item.node)) return;
          const attempt = request();
          control.disturb(...item.faults);
          const answer = await claims.claim(attempt);
          answers.push(answer);
          if (answer.kind === 'refused' && answer.failure.code === 'outcome-unknown') {
            answeredUnknown.push(attempt.requestId);
          }
          if (answer.kind !== 'claimed' || endedLeases.has(item.node)) return;
          if (answeredUnknown.length > 0)
            throw new Error('key claimed after a call was answered with outcome-unknown');
          if (item.outcome !== 'not-sent') executedIds.push(attempt.requestId);
          if (item.outcome === 'node dies') endedLeases.add(item.node);
          else if (item.outcome === 'answered') {
            await claims.settle(answer.claim, Ok(createAnswer(attempt.requestId)));
          } else {
            await claims.settle(answer.claim, Err(item.outcome === 'lost' ? answerLost : notSent));
          }
        };
        const running: Promise<void>[] = [];
        for (const item of attempts) {
          running.push(run(item));
          await advance(item.waitMs);
          if (item.landLate) control.landLate();
        }
        await advance(10_000);
        control.landLate();
        await advance(10_000);
        await Promise.all(running);
        await settle();
        expect(executedIds.length, 'runs').to.be.at.most(1);
        for (const answer of answers) {
          if (answer.kind === 'answered') expect([textOf(answer)]).to.deep.equal(executedIds);
        }
      }),
      { numRuns: 150, seed: 7 },
    );
  });
});

describe('claim sweep', () => {
  function createSweep(node: string, parts: ReturnType<typeof setUp>, alive: string[]) {
    return createClaimSweep({
      table: parts.table,
      objectStore: parts.objects.store,
      clock: parts.clock,
      metrics: createMetrics(),
      node,
      retentionMs: RETENTION_MS,
      sweepPerSecond: 20,
      aliveNodes: () => alive,
      wallClock: () => parts.clock.now(),
    });
  }

  async function storeAnswers(parts: ReturnType<typeof setUp>, count: number, text: string) {
    const claims = parts.createNode('n1');
    for (let index = 0; index < count; index++) {
      const claimRequest = parts.request({ key: `k${index}` });
      const claim = claimOf(await parts.runUntil(claims.claim(claimRequest)));
      await parts.runUntil(claims.settle(claim, Ok(createAnswer(text))));
    }
  }

  it('removes rows and bodies after their retention, and none before', async () => {
    const parts = setUp();
    await storeAnswers(parts, 3, 'an answer that is long');
    createSweep('n1', parts, ['n1']).start();
    await parts.advance(RETENTION_MS / 2);
    expect([parts.control.rows.size, parts.objects.control.stored.size]).to.deep.equal([3, 3]);
    await parts.advance(RETENTION_MS / 2 + 200_000);
    expect([parts.control.rows.size, parts.objects.control.stored.size]).to.deep.equal([0, 0]);
  }).timeout(20_000);

  it('sweeps each key range at one node', async () => {
    const parts = setUp();
    await storeAnswers(parts, 3, 'x');
    await parts.advance(RETENTION_MS + 1);
    const alive = ['n1', 'n2', 'n3'];
    const before = parts.control.reads;
    for (const node of alive) createSweep(node, parts, alive).start();
    await parts.advance(75_000);
    expect(parts.control.rows.size).to.equal(0);
    // One read for each of the 36 first characters of team names.
    expect(parts.control.reads - before).to.equal(36);
  });
});
