import { expect } from 'chai';
import fc from 'fast-check';
import { createSeededRandom } from '../../src/task/index.js';
import { createDrive, createPrompt, type Outcome } from './drive.js';

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
  it('never grants more than there is room for, and loses no permit, whatever comes', async () => {
    const step = fc.oneof(
      fc.record({ kind: fc.constant('send'), tokens: fc.integer({ min: 1, max: 3_000 }) }),
      fc.record({ kind: fc.constant('wait'), ms: fc.integer({ min: 1, max: 400 }) }),
      fc.record({ kind: fc.constant('crash') }),
      fc.record({ kind: fc.constant('forget') }),
    );
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 60 }), async (steps) => {
        const drive = createDrive({ engines: twoEngines });
        let seed = 0;
        for (const taken of steps) {
          seed += 1;
          if ('tokens' in taken) drive.send({ prompt: createPrompt(taken.tokens, seed) });
          else if ('ms' in taken) await drive.advance(taken.ms);
          else if (taken.kind === 'forget') drive.holder.forgetNode('entry-9');
          else drive.engines.get('manual-1')?.crash();
          for (const server of drive.holder.servers()) {
            expect(server.permits.size).to.be.at.most(server.slots);
            expect(server.reservedTokens).to.be.within(0, server.kvTokens);
          }
        }
        await drive.advance(20_000);
        for (const server of drive.holder.servers()) {
          expect([
            server.permits.size,
            server.prefilling.size,
            server.reservedTokens,
          ]).to.deep.equal([0, 0, 0]);
        }
        for (const { endMs, refusal, server } of drive.outcomes) {
          // A request that was neither answered nor refused was cut by a crash.
          expect(endMs !== undefined || refusal !== undefined || server === 'manual-1').to.equal(
            true,
          );
        }
      }),
      { numRuns: 25 },
    );
  });

  it('reads a text once for requests that come while it is being read', async () => {
    const drive = createDrive({ engines: [{ id: 'manual-1' }] });
    const text = createPrompt(4_000, 'extract');
    const asked: Outcome[] = [];
    for (const question of ['one', 'two', 'three']) {
      asked.push(drive.send({ prompt: `${text} ${question}` }));
    }
    await drive.advance(5_000);
    let readTokens = 0;
    for (const { cachedTokens = 0, endMs } of asked) {
      expect(endMs).to.be.a('number');
      readTokens += 4_003 - cachedTokens;
    }
    expect(readTokens).to.be.at.most(4_500);
  });

  it('shares the time of engines, not their tokens, between long prompts and long answers', async () => {
    const model = { maxBatch: 4, cacheTokens: 0 };
    const drive = createDrive({ engines: [{ id: 'manual-1', model }] });
    const patient = { firstTokenInMs: 1e6, deadlineInMs: 1e6 };
    for (let seed = 0; seed < 400; seed += 1) {
      drive.send({ ...patient, team: 'reads', prompt: createPrompt(200, seed), tokens: 20 });
      drive.send({ ...patient, team: 'writes', prompt: createPrompt(20, `w${seed}`), tokens: 200 });
    }
    await drive.advance(60_000);
    const answered = { reads: 0, writes: 0 };
    for (const { team, endMs } of drive.outcomes) {
      if (endMs === undefined) continue;
      if (team === 'reads') answered.reads += 1;
      else answered.writes += 1;
    }
    expect(answered.writes).to.be.above(20);
    expect(answered.reads).to.be.above(answered.writes * 3);
  });

  it('answers short questions beside long prompts as if these were not there', async () => {
    async function run(withLong: boolean): Promise<Outcome[]> {
      const drive = createDrive({ engines: twoEngines });
      const questions: Outcome[] = [];
      for (let second = 0; second < 50; second += 1) {
        if (withLong) {
          const prompt = createPrompt(4_000, `long${second}`);
          drive.send({ class: 'verdict', prompt, firstTokenInMs: 10_000 });
        }
        questions.push(drive.send({ prompt: createPrompt(40, second) }));
        await drive.advance(150);
      }
      await drive.advance(20_000);
      return questions;
    }
    const alone = percentile(await run(false), 0.95);
    const beside = percentile(await run(true), 0.95);
    // A step that reads a chunk of the long prompts takes 40 ms longer; two may pass.
    expect(beside).to.be.at.most(alone + 120);
  });

  it('leaves small teams on time while a large one offers many times its share', async () => {
    const drive = createDrive({ engines: twoEngines });
    const random = createSeededRandom(3);
    const small: Outcome[] = [];
    const large: Outcome[] = [];
    for (let index = 0; index < 400; index += 1) {
      const prompt = createPrompt(40 + Math.floor(random.next() * 600), index);
      large.push(drive.send({ team: 'large', priority: 1, prompt, tokens: 40 }));
      if (index % 10 === 0) {
        const team = `small-${(index / 10) % 4}`;
        small.push(drive.send({ team, prompt: createPrompt(60, `s${index}`), tokens: 40 }));
      }
      await drive.advance(10);
    }
    await drive.advance(20_000);
    const refusedLarge = large.filter(({ refusal }) => refusal !== undefined);
    expect(refusedLarge.length).to.be.greaterThan(50);
    expect(small.filter(({ refusal }) => refusal !== undefined)).to.deep.equal([]);
    expect(percentile(small, 0.95)).to.be.at.most(1_000);
  });

  it('refuses at once, with a time to come back, what the queue leaves no chance', async () => {
    const drive = createDrive({ engines: [{ id: 'manual-1' }] });
    for (let index = 0; index < 200; index += 1) {
      drive.send({ prompt: createPrompt(3_000, index), firstTokenInMs: 5_000 });
    }
    await drive.advance(0);
    const late = drive.outcomes.filter(({ refusal }) => refusal === 'cannot-be-on-time');
    expect(late.length).to.be.within(100, 190);
    for (const { retryAfterMs } of late) expect(retryAfterMs).to.be.greaterThan(0);
    const before = drive.outcomes.length - late.length;
    const last = late.at(-1);
    const first = late[0];
    expect(before).to.be.greaterThan(0);
    expect(last?.retryAfterMs ?? 0).to.be.at.least(first?.retryAfterMs ?? Infinity);
  });

  it('looks again at who can be on time when an engine is lost', async () => {
    const drive = createDrive({ engines: twoEngines });
    for (let index = 0; index < 60; index += 1) {
      drive.send({ prompt: createPrompt(3_000, index), firstTokenInMs: 4_000 });
    }
    await drive.advance(60);
    const before = drive.outcomes.filter(({ refusal }) => refusal !== undefined).length;
    drive.holder.recordMissedAnswer('manual-2');
    drive.holder.recordMissedAnswer('manual-2');
    await drive.advance(60);
    const after = drive.outcomes.filter(({ refusal }) => refusal !== undefined).length;
    expect(after).to.be.greaterThan(before);
  });

  it('sends a prompt where most of it is cached, unless much is to be read there', async () => {
    const drive = createDrive({ engines: twoEngines });
    const manual = createPrompt(1_280, 'manual');
    const first = drive.send({ prompt: `${manual} one` });
    await drive.advance(2_000);
    const second = drive.send({ prompt: `${manual} two` });
    await drive.advance(2_000);
    expect(second.server).to.equal(first.server);
    expect(second.cachedTokens).to.equal(1_280);
    const cached: Outcome[] = [];
    for (let index = 0; index < 40; index += 1) {
      cached.push(drive.send({ prompt: `${manual} ${index}`, tokens: 200 }));
    }
    await drive.advance(0);
    expect(new Set(cached.map(({ server }) => server)).size).to.equal(2);
  });

  it('goes on with the least bad servers when a whole group fails', async () => {
    const drive = createDrive({ engines: twoEngines });
    for (const engine of drive.engines.values()) engine.leave();
    for (let index = 0; index < 10; index += 1) drive.send();
    await drive.advance(100);
    const placed = drive.send();
    await drive.advance(0);
    expect(placed.server).to.not.equal(undefined);
  });

  it('sends nothing to a server that failed three times until its pause is over', async () => {
    const drive = createDrive({ engines: twoEngines });
    drive.engines.get('manual-1')?.leave();
    const sent: Outcome[] = [];
    for (let index = 0; index < 60; index += 1) {
      sent.push(drive.send());
      await drive.advance(20);
    }
    const refused = sent.filter(({ refusal }) => refusal === 'refused-by-engine');
    expect(refused.length).to.be.within(1, 6);
  });

  it('charges the end of a permit with the weight of its team', async () => {
    const drive = createDrive({ engines: [{ id: 'manual-1', model: { maxBatch: 2 } }] });
    const served = { light: 0, heavy: 0 };
    const keepWaiting = (team: 'light' | 'heavy', weight: number) => {
      const outcome = drive.send({ team, weight, tokens: 20, firstTokenInMs: 60_000 });
      const poll = () => {
        if (outcome.endMs === undefined) {
          drive.clock.after(10, poll);
          return;
        }
        served[team] += 1;
        keepWaiting(team, weight);
      };
      drive.clock.after(10, poll);
    };
    for (let index = 0; index < 6; index += 1) {
      keepWaiting('light', 1);
      keepWaiting('heavy', 3);
    }
    // The classes' output is first taken for what is assumed; both end at what was served.
    await drive.advance(120_000);
    expect(served.heavy / served.light).to.be.within(2.5, 3.5);
  });
});
