import { expect } from 'chai';
import { createSilentLog } from '../../src/events/index.js';
import type { RegisteredServer } from '../../src/fleet/index.js';
import { createCrashDetector, type ProbeAnswer } from '../../src/quarantine/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

const server = { id: 'server-1', address: '10.0.0.1:80' } as RegisteredServer;

/** A case in which the server is dialled with these answers, each twice where it is reached. */
function createCase(answers: ProbeAnswer[]) {
  const { clock, advance, runUntil } = createFakeClock();
  const confirmed: string[] = [];
  const dialled: string[] = [];
  const evidence = createCrashDetector<string>({
    clock,
    log: createSilentLog(),
    probe: {
      dial(address) {
        dialled.push(address);
        return Promise.resolve(answers.shift() ?? 'open');
      },
    },
    confirmed(loss, { id }, sign) {
      confirmed.push(`${loss} at ${id}: ${sign}`);
    },
  });
  function lose(what: string): Promise<void> {
    return runUntil(evidence.lost(server, what));
  }

  return { evidence, lose, confirmed, dialled, advance, runUntil };
}

describe('evidence that a server has ended', () => {
  it('is that nobody listens at its address after an answer was lost', async () => {
    const { lose, confirmed } = createCase(['refused']);
    await lose('a');
    expect(confirmed).to.deep.equal(['a at server-1: refused']);
  });

  it('counts against all who lost their answers there, also a moment later, with one dial', async () => {
    const { evidence, confirmed, dialled } = createCase(['refused']);
    const looks = [evidence.lost(server, 'a'), evidence.lost(server, 'b')];
    await Promise.all(looks);
    await evidence.lost(server, 'c');
    expect(confirmed).to.have.length(3);
    expect(dialled).to.have.length(1);
  });

  const cases: {
    what: string;
    answer: ProbeAnswer;
    gone?: { hasSuccessor: boolean };
    sign?: string;
  }[] = [
    { what: 'a reset connection to a server that listens', answer: 'open' },
    { what: 'a cut link', answer: 'silent' },
    {
      what: 'a server that leaves after a lost answer',
      answer: 'open',
      gone: { hasSuccessor: false },
    },
    { what: 'a new start', answer: 'silent', gone: { hasSuccessor: true }, sign: 'restarted' },
    { what: 'a server gone dark', answer: 'silent', gone: { hasSuccessor: false }, sign: 'lapsed' },
  ];
  for (const { what, answer, gone, sign } of cases) {
    it(`is ${sign === undefined ? 'not ' : ''}${what}`, async () => {
      const { evidence, lose, confirmed } = createCase(
        answer === 'open' ? ['open', 'open'] : [answer],
      );
      await lose('a');
      if (gone !== undefined) evidence.removed(server.id, gone.hasSuccessor);
      expect(confirmed).to.deep.equal(sign === undefined ? [] : [`a at server-1: ${sign}`]);
    });
  }

  it('counts against nobody whose answer was lost while the server went on', async () => {
    const { lose, confirmed } = createCase(['open', 'open', 'refused']);
    await lose('reset');
    await lose('fatal');
    expect(confirmed).to.deep.equal(['fatal at server-1: refused']);
    const later = createCase(['open', 'open']);
    await later.lose('reset');
    later.evidence.removed(server.id, true);
    expect(later.confirmed).to.deep.equal([]);
  });

  it('is that nobody listens a moment later, where the server is just ending', async () => {
    const { lose, confirmed } = createCase(['open', 'refused']);
    await lose('a');
    expect(confirmed).to.deep.equal(['a at server-1: refused']);
  });

  it('is looked for again where an answer is lost while the server is dialled', async () => {
    const { evidence, confirmed, dialled, advance, runUntil } = createCase([
      'open',
      'open',
      'refused',
    ]);
    const first = evidence.lost(server, 'a');
    await advance(1);
    void evidence.lost(server, 'b');
    await runUntil(first);
    expect(dialled).to.have.length(3);
    expect(confirmed).to.deep.equal(['b at server-1: refused']);
  });

  it('is not that an entry goes long after an answer was lost', async () => {
    const { evidence, lose, confirmed, advance } = createCase(['silent']);
    await lose('a');
    await advance(20_000);
    evidence.removed(server.id, false);
    expect(confirmed).to.deep.equal([]);
  });
});
