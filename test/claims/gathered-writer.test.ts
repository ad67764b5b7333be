import { expect } from 'chai';
import { createGatheredWriter } from '../../src/claims/index.js';
import type { TableService, Transaction, TransactionOutcome } from '../../src/platform/index.js';
import { createFakeClock, settle } from '../fixtures/fake-clock.js';

function setUp() {
  const { clock, advance } = createFakeClock();
  const sent: { transaction: Transaction; end: (outcome: TransactionOutcome) => void }[] = [];
  const table = {
    transact: (transaction: Transaction) =>
      new Promise<TransactionOutcome>((end) => {
        sent.push({ transaction, end });
      }),
  } as unknown as TableService;
  const writer = createGatheredWriter({ table, clock, gatherMs: 2, maxPerTransaction: 3 });
  const write = (key: string) => writer.write({ key, revision: 0, value: key });
  const keys = () =>
    sent.map(({ transaction }) => transaction.puts.map(({ key }) => key).join(' '));
  const end = async (index: number, outcome: TransactionOutcome) => {
    sent[index]?.end(outcome);
    await settle();
  };
  return { write, keys, end, advance };
}

const committed: TransactionOutcome = { kind: 'committed', revision: 7 };

describe('gathered writes', () => {
  it('go one transaction at a time, with all that came meanwhile in the next', async () => {
    const { write, keys, end, advance } = setUp();
    const first = write('a');
    await advance(2);
    const others = ['b', 'c', 'd', 'e'].map(write);
    await advance(50);
    expect(keys()).to.deep.equal(['a']);
    await end(0, committed);
    expect(await first).to.deep.equal({ kind: 'committed', revision: 7 });
    expect(keys()).to.deep.equal(['a', 'b c d']);
    await end(1, committed);
    await end(2, committed);
    expect(keys()).to.deep.equal(['a', 'b c d', 'e']);
    expect((await Promise.all(others)).map(({ kind }) => kind)).to.deep.equal(
      Array.from({ length: 4 }, () => 'committed'),
    );
  });

  it('of one row go into transactions of their own, in their order', async () => {
    const { write, keys, end, advance } = setUp();
    void write('a');
    void write('a');
    void write('b');
    await advance(2);
    expect(keys()).to.deep.equal(['a b']);
    await end(0, committed);
    expect(keys()).to.deep.equal(['a b', 'a']);
  });

  it('suffer no conflict of a neighbour', async () => {
    const { write, keys, end, advance } = setUp();
    const outcomes = Promise.all(['a', 'b'].map(write));
    await advance(2);
    await end(0, { kind: 'conflict', conflicts: ['a'] });
    expect(keys()).to.deep.equal(['a b', 'b']);
    await end(1, committed);
    expect((await outcomes).map(({ kind }) => kind)).to.deep.equal(['conflict', 'committed']);
  });
});
