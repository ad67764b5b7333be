import { expect } from 'chai';
import { createSilentLog } from '../../src/events/index.js';
import type { RegisteredServer } from '../../src/fleet/index.js';
import { createCrashDetector, type ProbeAnswer } from '../../src/quarantine/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

const server = { id: 'server-1', address: '10.0.0.1:80' } as RegisteredServer;

/** Creates a detector whose probe returns these answers in turn; a server that answers `open` is dialled twice. */
function createCase(answers: ProbeAnswer[]) {
  const { clock, advance, runUntil } = createFakeClock();
  const confirmed: string[] = [];
  const dialled: string[] = [];
  const detector = createCrashDetector<string>({
    clock,
    log: createSilentLog(),
    probe: {
      dial({ address }) {
        dialled.push(address);
        return Promise.resolve(answers.shift() ?? 'open');
      },
    },
    confirmed(loss, { id }, sign) {
      confirmed.push(`${loss} at ${id}: ${sign}`);
    },
  });
  function lose(what: string): Promise<void> {
    return runUntil(detector.lost(server, what));
  }

  return { detector, lose, confirmed, dialled, advance, runUntil };
}

describe('crash detector', () => {
  it('confirms a crash if the address refuses connections after an answer was lost', async () => {
    const { lose, confirmed } = createCase(['refused']);
    await lose('a');
    expect(confirmed).to.deep.equal(['a at server-1: refused']);
  });

  it('confirms all lost answers of the server, later ones included, with one dial', async () => {
    const { detector, confirmed, dialled } = createCase(['refused']);
    const checks = [detector.lost(server, 'a'), detector.lost(server, 'b')];
    await Promise.all(checks);
    await detector.lost(server, 'c');
    expect(confirmed).to.have.length(3);
    expect(dialled).to.have.length(1);
  });

  const cases: {
    what: string;
    answer: ProbeAnswer;
    gone?: { hasSuccessor: boolean };
    sign?: string;
  }[] = [
    { what: 'a connection reset by a server that listens', answer: 'open' },
    { what: 'a cut link', answer: 'silent' },
    {
      what: 'a server that deregisters after a lost answer',
      answer: 'open',
      gone: { hasSuccessor: false },
    },
    {
      what: 'a restarted server',
      answer: 'silent',
      gone: { hasSuccessor: true },
      sign: 'restarted',
    },
    {
      what: 'an unreachable server whose entry lapses',
      answer: 'silent',
      gone: { hasSuccessor: false },
      sign: 'lapsed',
    },
  ];
  for (const { what, answer, gone, sign } of cases) {
    it(`${sign === undefined ? 'ignores' : 'confirms'} ${what}`, async () => {
      const { detector, lose, confirmed } = createCase(
        answer === 'open' ? ['open', 'open'] : [answer],
      );
      await lose('a');
      if (gone !== undefined) detector.removed(server.id, gone.hasSuccessor);
      expect(confirmed).to.deep.equal(sign === undefined ? [] : [`a at server-1: ${sign}`]);
    });
  }

  it('does not confirm answers that were lost while the server kept running', async () => {
    const { lose, confirmed } = createCase(['open', 'open', 'refused']);
    await lose('reset');
    await lose('fatal');
    expect(confirmed).to.deep.equal(['fatal at server-1: refused']);
    const later = createCase(['open', 'open']);
    await later.lose('reset');
    later.detector.removed(server.id, true);
    expect(later.confirmed).to.deep.equal([]);
  });

  it('confirms a crash if only the second dial is refused', async () => {
    const { lose, confirmed } = createCase(['open', 'refused']);
    await lose('a');
    expect(confirmed).to.deep.equal(['a at server-1: refused']);
  });

  it('checks again if an answer is lost during the dial', async () => {
    const { detector, confirmed, dialled, advance, runUntil } = createCase([
      'open',
      'open',
      'refused',
    ]);
    const first = detector.lost(server, 'a');
    await advance(1);
    void detector.lost(server, 'b');
    await runUntil(first);
    expect(dialled).to.have.length(3);
    expect(confirmed).to.deep.equal(['b at server-1: refused']);
  });

  it('ignores an entry that is removed long after an answer was lost', async () => {
    const { detector, lose, confirmed, advance } = createCase(['silent']);
    await lose('a');
    await advance(20_000);
    detector.removed(server.id, false);
    expect(confirmed).to.deep.equal([]);
  });
});
