import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import { eventCatalogue } from '../../src/events/index.js';
import { pages } from '../../tools/docs/pages.js';

describe('generated pages', () => {
  for (const { file, render } of pages) {
    it(`${file} says what the code says (npm run docs:generate)`, async () => {
      expect(readFileSync(file, 'utf8')).to.equal(await render());
    });
  }

  it('explain every setting', async () => {
    const settings = pages.find(({ file }) => file.endsWith('settings.md'));
    const rows = (await settings?.render())?.split('\n').filter((line) => line.startsWith('| `'));
    expect(rows?.length).to.be.greaterThan(40);
    const unexplained = rows?.filter((row) => /\|\s*\|$/.test(row));
    expect(unexplained).to.deep.equal([]);
  });

  it('give each event a number of its own', () => {
    const ids = Object.values(eventCatalogue).map(({ id }) => id);
    expect(new Set(ids).size).to.equal(ids.length);
  });
});
