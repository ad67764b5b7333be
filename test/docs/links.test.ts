import { existsSync, readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { expect } from 'chai';

const LINK = /\]\((?!https?:)([^)#\s]+)/g;

function listPages(): string[] {
  const pages = ['README.md', 'CONTRIBUTING.md', 'CHANGELOG.md'];
  for (const entry of readdirSync('docs', { recursive: true, encoding: 'utf8' })) {
    if (entry.endsWith('.md')) pages.push(path.join('docs', entry));
  }
  return pages;
}

describe('pages', () => {
  it('link to what exists', () => {
    const broken: string[] = [];
    for (const page of listPages()) {
      for (const [, target = ''] of readFileSync(page, 'utf8').matchAll(LINK)) {
        const file = path.join(path.dirname(page), target);
        if (!existsSync(file)) broken.push(`${page}: ${target}`);
      }
    }
    expect(broken).to.deep.equal([]);
  });
});
