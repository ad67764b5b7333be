import { expect } from 'chai';
import fc from 'fast-check';
import { parseEntry } from '../../platform/registry.js';
import { createSilentLog } from '../../src/events/index.js';
import { createFleet } from '../../src/fleet/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

const ENTRY = {
  backend: 'pages',
  address: '10.0.0.9:80',
  zone: 'a',
  version: 'v1',
  slots: 4,
  state: 'ready',
  coldRemainingMs: 0,
  sequence: 0,
  born: 1_790_000_000_000,
};

function setUp() {
  const { clock, advance } = createFakeClock();
  const left: string[] = [];
  const fleet = createFleet(clock, createSilentLog(), (id) => left.push(id));

  /** Reads an entry as the store has it. */
  function read(name: string, revision: number, text: string | undefined): void {
    const parsed = parseEntry({ key: name, revision, text });
    if ('revision' in parsed) fleet.learn(parsed, 'store');
  }
  function write(name: string, revision: number, more: object = {}): void {
    read(name, revision, JSON.stringify({ ...ENTRY, ...more }));
  }
  const available = () => fleet.available('pages');
  const names = () => available().map(({ id }) => id.split('@', 1)[0]);
  return { advance, fleet, left, read, write, available, names };
}

describe('a server that starts again under its id', () => {
  it('is another server to all who keep something about it', () => {
    const { write, available, left } = setUp();
    write('s', 1);
    const [before] = available();
    write('s', 2, { born: ENTRY.born + 1 });
    const [after] = available();
    expect(after?.id).to.not.equal(before?.id);
    expect(left).to.deep.equal([before?.id]);
  });

  it('stays the same while it only changes its entry', () => {
    const { write, available, left } = setUp();
    write('s', 1);
    const [before] = available();
    write('s', 2, { sequence: 7, coldRemainingMs: 50 });
    expect(available()[0]?.id).to.equal(before?.id);
    expect(left).to.deep.equal([]);
  });

  it('takes requests again though its life before was found not to be there', () => {
    const { fleet, write, available } = setUp();
    write('s', 1);
    fleet.retire(available()[0]?.id ?? '', 'another incarnation has its address');
    expect(available()).to.have.length(0);
    write('s', 2, { born: ENTRY.born + 1 });
    expect(available()).to.have.length(1);
  });

  it('takes requests again after it had said that it leaves', () => {
    const { write, available } = setUp();
    write('s', 1);
    write('s', 2, { state: 'draining' });
    write('s', 3, { born: ENTRY.born + 1 });
    expect(available()).to.have.length(1);
  });

  it('is not retired by what was found about the life before', () => {
    const { fleet, write, available } = setUp();
    write('s', 1);
    const before = available()[0]?.id ?? '';
    write('s', 2, { born: ENTRY.born + 1 });
    fleet.retire(before, 'another incarnation has its address');
    expect(available()).to.have.length(1);
    expect(fleet.find(before)).to.equal(undefined);
  });

  it('may have started earlier by its clock, may come twice, elsewhere, and after a removal', () => {
    const { read, write, available, left } = setUp();
    write('s', 1);
    write('s', 2, { born: ENTRY.born - 5_000 });
    write('s', 3, { born: ENTRY.born + 9, address: '10.0.0.10:81' });
    read('s', 4, undefined);
    write('s', 5, { born: ENTRY.born + 10 });
    expect(available()).to.have.length(1);
    expect(new Set(left).size).to.equal(3);
  });

  it('does not go back to the life before by a late word', () => {
    const { write, available } = setUp();
    write('s', 5, { born: ENTRY.born + 1 });
    const id = available()[0]?.id;
    write('s', 3);
    expect(available()[0]?.id).to.equal(id);
  });
});

describe('entries that name no server to use', () => {
  const unusable: readonly [string, string][] = [
    ['no JSON', '{'],
    ['bytes that are no text', '\ufffd\ufffd'],
    ['another type', '[1]'],
    ['a missing field', JSON.stringify({ ...ENTRY, address: undefined })],
    ['a missing state', JSON.stringify({ ...ENTRY, state: undefined })],
    ['a field of another type', JSON.stringify({ ...ENTRY, slots: '4' })],
    ['a state that has no name', JSON.stringify({ ...ENTRY, state: 'resting' })],
    ['no address', JSON.stringify({ ...ENTRY, address: 'somewhere' })],
    ['a port that is none', JSON.stringify({ ...ENTRY, address: '10.0.0.9:99999' })],
    ['slots beyond all numbers', JSON.stringify({ ...ENTRY, slots: 1e300 })],
    ['a start that is no whole number', JSON.stringify({ ...ENTRY, born: 1.5 })],
    ['a start of another type', JSON.stringify({ ...ENTRY, born: '1790000000000' })],
    ['a prototype', '{"__proto__": {"backend": "pages", "state": "ready"}}'],
  ];
  for (const [what, text] of unusable) {
    it(`take their server out while they hold ${what}; the others hold`, () => {
      const { read, write, names } = setUp();
      write('s', 1);
      write('t', 2);
      read('s', 3, text);
      expect(names()).to.deep.equal(['t']);
      write('s', 4);
      expect(names()).to.deep.equal(['s', 't']);
    });
  }

  it('never throw and never change another server, whatever they hold', () => {
    const mutated = fc
      .tuple(fc.constantFrom(...Object.keys(ENTRY)), fc.jsonValue())
      .map(([field, value]) => JSON.stringify({ ...ENTRY, [field]: value }));
    const texts = fc.oneof(fc.string({ unit: 'binary' }), fc.json(), mutated);
    fc.assert(
      fc.property(texts, (text) => {
        const { read, write, names } = setUp();
        write('s', 1);
        write('t', 2);
        read('s', 3, text);
        expect(names().includes('t')).to.equal(true);
      }),
      { numRuns: 2_000, seed: 20_261_203 },
    );
  });
});
