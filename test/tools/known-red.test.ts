import { expect } from 'chai';
import knownRed from '../../tools/ci/known-red.cjs';

const { judge, parseKnownRed } = knownRed;
const line = 'router goes on: at the token: resume is late: issue 7';

describe('tests that are known to fail', () => {
  it('are passed over and printed', () => {
    const title = 'router goes on: at the token';
    const verdict = judge(parseKnownRed(`${line}\n`), { passed: ['other'], failed: [title] });
    expect(verdict).to.deep.equal({ notes: [`known to fail: ${line}`], faults: 0 });
  });

  it('excuse no other test', () => {
    const verdict = judge(parseKnownRed(line), { passed: [], failed: ['router goes on'] });
    expect(verdict.faults).to.equal(1);
  });

  it('are reported when they pass or no longer run', () => {
    const title = 'router goes on: at the token';
    const passing = judge(parseKnownRed(line), { passed: [title], failed: [] });
    expect(passing.notes[0]).to.contain('take it off').and.to.contain(title);
    const missing = judge(parseKnownRed(line), { passed: [], failed: [] });
    expect(missing.notes[0]).to.contain('did not run');
  });

  it('are three at the most, each with a cause and an issue', () => {
    const four = `${line}\n`.repeat(4);
    expect(judge(parseKnownRed(four), { passed: [], failed: [] }).faults).to.equal(1);
    expect(judge(parseKnownRed('a title: a cause'), { passed: [], failed: [] }).faults).to.equal(1);
  });
});
