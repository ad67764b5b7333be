import { readdirSync, readFileSync } from 'node:fs';
import { expect } from 'chai';
import { parseScenarios } from '../../tools/scenarios/language.js';

const text = `
# a comment
scenario A refusal that says "not run" is true.
  with tema and a list that lags 500ms
  zone tema-hall: nodes entry-1, entry-2; engines manual-1, manual-2; services catalogue-1
  zone osu-hall: engines manual-3 ignoring fencing numbers

  start load of 2.5 requests a second   # begins here
  pause node entry-1 for 6s
  wait for 3 orders
  expect no new work at manual-1 after 3s
`;

describe('the language of scenarios', () => {
  it('reads setup, actions and expectations', () => {
    const [scenario] = parseScenarios(text).unwrap();
    expect(scenario?.name).to.equal('A refusal that says "not run" is true.');
    expect(scenario?.setup.listLagMs).to.equal(500);
    expect(scenario?.setup.zones[1]).to.deep.equal({
      zone: 'osu-hall',
      nodes: [],
      engines: [{ id: 'manual-3', checksFence: false }],
      services: [],
    });
    expect(scenario?.steps.map(({ does }) => does)).to.deep.equal([
      { kind: 'start-load', perSecond: 2.5 },
      { kind: 'pause-node', node: { node: 'entry-1' }, ms: 6_000 },
      { kind: 'wait-for-orders', count: 3 },
      { kind: 'no-new-work', server: 'manual-1', afterMs: 3_000 },
    ]);
    expect(scenario?.steps[0]).to.include({
      line: 8,
      text: 'start load of 2.5 requests a second',
    });
  });

  it('says at which line and column a text is not in the language', () => {
    const misreading = parseScenarios(text.replace('for 6s', 'for 6 weeks')).unwrapErr();
    expect(misreading).to.include({ line: 9, column: 27 });
    expect(misreading.expected).to.include('a time, as 3s or 250ms');
  });

  it('reads every scenario that is shipped, and names none twice', () => {
    const names: string[] = [];
    for (const file of readdirSync('scenarios')) {
      const parsed = parseScenarios(readFileSync(`scenarios/${file}`, 'utf8')).unwrap();
      names.push(...parsed.map(({ name }) => name));
    }
    expect(new Set(names).size).to.equal(names.length);
  });
});
