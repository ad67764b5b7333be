import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { judgeFirstAttempts } from '../../tools/soak/cuts.js';
import { judge, type Account } from '../../tools/soak/judge.js';
import { runSoak } from '../../tools/soak/soak.js';
import { judgeContinued, judgeStory, tellStory } from '../../tools/soak/streams.js';

describe('the fault soak', () => {
  it('finds nothing broken in a short run', async function () {
    this.timeout(90_000);
    const folder = mkdtempSync(join(tmpdir(), 'soak-'));
    const result = await runSoak({ seed: 1, seconds: 4, folder });
    rmSync(folder, { recursive: true });
    expect(result.broken).to.deep.equal([]);
    expect(result.succeeded).to.be.greaterThan(50);
    for (const [what, count] of Object.entries(result.spans)) {
      expect(count, what).to.be.greaterThan(0);
    }
  });
});

describe('the judge of the soak', () => {
  function account(more: Partial<Account>): Account {
    const base = {
      id: 'r',
      kind: 'once' as const,
      path: '/once/1',
      runs: ['s'],
      given: [{ server: 's', status: 200 }],
      events: 3,
      afterEvent: 0,
    };
    return { ...base, answer: undefined, ...more };
  }

  function answer(status: number, body = 's answers /once/1', isWhole = true) {
    const signature = { 'x-server-signature': 'signed-by-s' };
    return { status, body, isWhole, headers: { 'x-request-id': 'r', ...signature } };
  }

  function own(status: number, headers: Record<string, string> = { 'x-request-id': 'r' }) {
    return { status, body: 'may have run: lost', isWhole: true, headers };
  }

  it('finds a second run', () => {
    expect(judge(account({ runs: ['s', 't'] }))).to.have.length(1);
    expect(judge(account({ kind: 'any', runs: ['s', 't'] }))).to.have.length(0);
  });

  it('finds cut gateways that serve first attempts less often than the others', () => {
    const others = { asked: 200, served: 190 };
    expect(judgeFirstAttempts({ asked: 100, served: 50 }, others)).to.be.a('string');
    expect(judgeFirstAttempts({ asked: 100, served: 90 }, others)).to.equal(undefined);
    expect(judgeFirstAttempts({ asked: 12, served: 2 }, others)).to.equal(undefined);
  });

  it('finds a refusal of what ran', () => {
    expect(judge(account({ answer: own(503) }))).to.have.length(1);
    expect(judge(account({ answer: own(503), runs: [], given: [] }))).to.have.length(0);
    expect(judge(account({ answer: own(502) }))).to.have.length(0);
  });

  it('finds a refusal of what ran that the server itself has signed', () => {
    for (const status of [408, 429, 503]) {
      const given = [{ server: 's', status }];
      expect(judge(account({ answer: answer(status), given }))).to.have.length(1);
      expect(judge(account({ kind: 'any', answer: answer(status), given }))).to.have.length(0);
    }
  });

  it("finds a server's signature on an answer that this server did not give", () => {
    const given = [{ server: 's', status: 503 }];
    expect(judge(account({ answer: answer(502), given }))).to.have.length(1);
    expect(judge(account({ answer: answer(200), given }))).to.have.length(1);
    const { headers } = answer(503);
    expect(judge(account({ kind: 'any', answer: own(503, headers), given }))).to.have.length(1);
  });

  it('finds a failure of another request', () => {
    expect(judge(account({ answer: own(502, { 'x-request-id': 't' }) }))).to.have.length(1);
  });

  it('finds a body that only looks whole', () => {
    expect(judge(account({ answer: answer(200, 's ans') }))).to.have.length(1);
    expect(judge(account({ answer: answer(200, 's ans', false) }))).to.have.length(0);
  });

  it('finds streams with gaps, repeats and early ends', () => {
    const stream = (ids: number[], isWhole = true) => {
      const body = ids.map((id) => `id: ${id}\ndata: part ${id}\n\n`).join('');
      return judge(account({ kind: 'stream', answer: answer(200, body, isWhole) }));
    };
    expect(stream([1, 2, 3])).to.have.length(0);
    expect(stream([1, 2], false)).to.have.length(0);
    expect(stream([1, 2])).to.have.length(1);
    expect(stream([1, 3, 2])).to.have.length(1);
    expect(stream([1, 1, 2, 3])).to.have.length(1);
  });

  it('finds streams of two software versions, over all attempts of their callers', () => {
    const events = (id: number, version: string) =>
      answer(200, `id: ${id}\ndata: part ${id} by ${version}\n\n`, false);
    const begun = tellStory(undefined, 'r', events(1, 'v1'));
    const same = tellStory(begun, 'r2', events(2, 'v1'));
    const mixed = tellStory(same, 'r3', events(3, 'v2'));
    if (same === undefined || mixed === undefined) throw new Error('there were events');
    expect(mixed).to.include({ begunBy: 'r', lastEvent: 3 });
    expect(judgeStory(same)).to.equal(undefined);
    expect(judgeStory(mixed)).to.be.a('string');
  });

  it('finds streams that go on less than half as often as new ones begin', () => {
    const counts = { asked: 30, begun: 24, toContinue: 20, continued: 7 };
    expect(judgeContinued(counts)).to.be.a('string');
    expect(judgeContinued({ ...counts, continued: 8 })).to.equal(undefined);
    expect(judgeContinued({ ...counts, toContinue: 11, continued: 0 })).to.equal(undefined);
  });
});
