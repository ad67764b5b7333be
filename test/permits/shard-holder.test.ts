import { expect } from 'chai';
import fc from 'fast-check';
import { createSeededRandom } from '../../src/task/index.js';
import { createHarness, createPrompt, type Outcome } from './harness.js';

const twoEngines = [
  { id: 'manual-1', seed: 1 },
  { id: 'manual-2', seed: 2 },
];

function percentile(outcomes: readonly Outcome[], share: number): number {
  const times: number[] = [];
  for (const { firstTokenMs } of outcomes) times.push(firstTokenMs ?? Number.POSITIVE_INFINITY);
  times.sort((left, right) => left - right);
  return times[Math.floor(times.length * share)] ?? Number.POSITIVE_INFINITY;
}

describe('the holder of a shard', () => {
  it('stays within slots and KV cache and releases all permits under random load and crashes', async () => {
    const step = fc.oneof(
      fc.record({ kind: fc.constant('send'), tokens: fc.integer({ min: 1, max: 3_000 }) }),
      fc.record({ kind: fc.constant('wait'), ms: fc.integer({ min: 1, max: 400 }) }),
      fc.record({ kind: fc.constant('crash') }),
      fc.record({ kind: fc.constant('forget') }),
    );
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 60 }), async (steps) => {
        const harness = createHarness({ engines: twoEngines });
        let seed = 0;
        for (const taken of steps) {
          seed += 1;
          if ('tokens' in taken) harness.send({ prompt: createPrompt(taken.tokens, seed) });
          else if ('ms' in taken) await harness.advance(taken.ms);
          else if (taken.kind === 'forget') harness.holder.forgetNode('entry-9');
          else harness.engines.get('manual-1')?.crash();
          for (const server of harness.holder.servers()) {
            expect(server.permits.size).to.be.at.most(server.slots);
            expect(server.reservedTokens).to.be.within(0, server.kvTokens);
          }
        }
        await harness.advance(20_000);
        for (const server of harness.holder.servers()) {
          expect([
            server.permits.size,
            server.prefilling.size,
            server.reservedTokens,
          ]).to.deep.equal([0, 0, 0]);
        }
        for (const { endMs, refusal, server } of harness.outcomes) {
          // The stream of a request that was neither answered nor refused was cut by a crash.
          expect(endMs !== undefined || refusal !== undefined || server === 'manual-1').to.equal(
            true,
          );
        }
      }),
      { numRuns: 25 },
    );
  });

  it('prefills a common prefix once for requests that arrive during its prefill', async () => {
    const harness = createHarness({ engines: [{ id: 'manual-1' }] });
    const text = createPrompt(4_000, 'extract');
    const asked: Outcome[] = [];
    for (const question of ['one', 'two', 'three']) {
      asked.push(harness.send({ prompt: `${text} ${question}` }));
    }
    await harness.advance(5_000);
    let readTokens = 0;
    for (const { cachedTokens = 0, endMs } of asked) {
      expect(endMs).to.be.a('number');
      readTokens += 4_003 - cachedTokens;
    }
    expect(readTokens).to.be.at.most(4_500);
  });

  it('shares engine time, not tokens, between teams with long prompts and with long outputs', async () => {
    const model = { maxBatch: 4, cacheTokens: 0 };
    const harness = createHarness({ engines: [{ id: 'manual-1', model }] });
    const longDeadlines = { firstTokenInMs: 1e6, deadlineInMs: 1e6 };
    for (let seed = 0; seed < 400; seed += 1) {
      harness.send({
        ...longDeadlines,
        team: 'reads',
        prompt: createPrompt(200, seed),
        tokens: 20,
      });
      harness.send({
        ...longDeadlines,
        team: 'writes',
        prompt: createPrompt(20, `w${seed}`),
        tokens: 200,
      });
    }
    await harness.advance(60_000);
    const answered = { reads: 0, writes: 0 };
    for (const { team, endMs } of harness.outcomes) {
      if (endMs === undefined) continue;
      if (team === 'reads') answered.reads += 1;
      else answered.writes += 1;
    }
    expect(answered.writes).to.be.above(20);
    expect(answered.reads).to.be.above(answered.writes * 3);
  });

  it('keeps the time to first token of short prompts nearly unchanged beside long prompts', async () => {
    async function run(withLong: boolean): Promise<Outcome[]> {
      const harness = createHarness({ engines: twoEngines });
      const questions: Outcome[] = [];
      for (let second = 0; second < 50; second += 1) {
        if (withLong) {
          const prompt = createPrompt(4_000, `long${second}`);
          harness.send({ class: 'verdict', prompt, firstTokenInMs: 10_000 });
        }
        questions.push(harness.send({ prompt: createPrompt(40, second) }));
        await harness.advance(150);
      }
      await harness.advance(20_000);
      return questions;
    }
    const alone = percentile(await run(false), 0.95);
    const beside = percentile(await run(true), 0.95);
    // A step with a prefill chunk of a long prompt takes 40 ms longer; allow for two of them.
    expect(beside).to.be.at.most(alone + 120);
  });

  it('keeps small teams within their objective while a large team offers many times its share', async () => {
    const harness = createHarness({ engines: twoEngines });
    const random = createSeededRandom(3);
    const small: Outcome[] = [];
    const large: Outcome[] = [];
    for (let index = 0; index < 400; index += 1) {
      const prompt = createPrompt(40 + Math.floor(random.next() * 600), index);
      large.push(harness.send({ team: 'large', priority: 1, prompt, tokens: 40 }));
      if (index % 10 === 0) {
        const team = `small-${(index / 10) % 4}`;
        small.push(harness.send({ team, prompt: createPrompt(60, `s${index}`), tokens: 40 }));
      }
      await harness.advance(10);
    }
    await harness.advance(20_000);
    const refusedLarge = large.filter(({ refusal }) => refusal !== undefined);
    expect(refusedLarge.length).to.be.greaterThan(50);
    expect(small.filter(({ refusal }) => refusal !== undefined)).to.deep.equal([]);
    expect(percentile(small, 0.95)).to.be.at.most(1_000);
  });

  it('refuses requests on arrival with a Retry-After if the queue is too long for them', async () => {
    const harness = createHarness({ engines: [{ id: 'manual-1' }] });
    for (let index = 0; index < 200; index += 1) {
      harness.send({ prompt: createPrompt(3_000, index), firstTokenInMs: 5_000 });
    }
    await harness.advance(0);
    const late = harness.outcomes.filter(({ refusal }) => refusal === 'cannot-be-on-time');
    expect(late.length).to.be.within(100, 190);
    for (const { retryAfterMs } of late) expect(retryAfterMs).to.be.greaterThan(0);
    const before = harness.outcomes.length - late.length;
    const last = late.at(-1);
    const first = late[0];
    expect(before).to.be.greaterThan(0);
    expect(last?.retryAfterMs ?? 0).to.be.at.least(first?.retryAfterMs ?? Infinity);
  });

  it('sheds requests that can no longer be on time after the loss of an engine', async () => {
    const harness = createHarness({ engines: twoEngines });
    for (let index = 0; index < 60; index += 1) {
      harness.send({ prompt: createPrompt(3_000, index), firstTokenInMs: 4_000 });
    }
    await harness.advance(60);
    const before = harness.outcomes.filter(({ refusal }) => refusal !== undefined).length;
    harness.holder.recordMissedAnswer('manual-2');
    harness.holder.recordMissedAnswer('manual-2');
    await harness.advance(60);
    const after = harness.outcomes.filter(({ refusal }) => refusal !== undefined).length;
    expect(after).to.be.greaterThan(before);
  });

  it('prefers the engine with the most cached prefixes unless its queue is long', async () => {
    const harness = createHarness({ engines: twoEngines });
    const manual = createPrompt(1_280, 'manual');
    const first = harness.send({ prompt: `${manual} one` });
    await harness.advance(2_000);
    const second = harness.send({ prompt: `${manual} two` });
    await harness.advance(2_000);
    expect(second.server).to.equal(first.server);
    expect(second.cachedTokens).to.equal(1_280);
    const cached: Outcome[] = [];
    for (let index = 0; index < 40; index += 1) {
      cached.push(harness.send({ prompt: `${manual} ${index}`, tokens: 200 }));
    }
    await harness.advance(0);
    expect(new Set(cached.map(({ server }) => server)).size).to.equal(2);
  });

  it('keeps part of a group in use if all of its servers fail', async () => {
    const harness = createHarness({ engines: twoEngines });
    for (const engine of harness.engines.values()) engine.leave();
    for (let index = 0; index < 10; index += 1) harness.send();
    await harness.advance(100);
    const placed = harness.send();
    await harness.advance(0);
    expect(placed.server).to.not.equal(undefined);
  });

  it('sends nothing to an ejected server until its probe is due', async () => {
    const harness = createHarness({ engines: twoEngines });
    harness.engines.get('manual-1')?.leave();
    const sent: Outcome[] = [];
    for (let index = 0; index < 60; index += 1) {
      sent.push(harness.send());
      await harness.advance(20);
    }
    const refused = sent.filter(({ refusal }) => refusal === 'refused-by-engine');
    expect(refused.length).to.be.within(1, 6);
  });

  it('corrects the charge of a released permit by the weight of its team', async () => {
    const harness = createHarness({ engines: [{ id: 'manual-1', model: { maxBatch: 2 } }] });
    const served = { light: 0, heavy: 0 };
    const keepBacklogged = (team: 'light' | 'heavy', weight: number) => {
      const outcome = harness.send({ team, weight, tokens: 20, firstTokenInMs: 60_000 });
      const poll = () => {
        if (outcome.endMs === undefined) {
          harness.clock.after(10, poll);
          return;
        }
        served[team] += 1;
        keepBacklogged(team, weight);
      };
      harness.clock.after(10, poll);
    };
    for (let index = 0; index < 6; index += 1) {
      keepBacklogged('light', 1);
      keepBacklogged('heavy', 3);
    }
    // Initial charges use estimated output; the correction on release must not change the ratio.
    await harness.advance(120_000);
    expect(served.heavy / served.light).to.be.within(2.5, 3.5);
  });
});
