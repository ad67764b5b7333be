import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { expect } from 'chai';

/** Names that belong to the platform's protocol. */
const WIRE_NAMES = [
  'X-Request-Deadline-Ms',
  'X-Target-Instance',
  'X-Kv-',
  'X-Prompt-Prefix',
  'rows-tx',
  'rows-get',
  'rows-feed',
  'kv-handle',
  'targetLatencyMs',
  'trafficSplit',
  'sessionAffinity',
  'pathPrefix"',
  'coldRemainingMs',
  'listen.front',
];

function listSources(folder: string): string[] {
  const found: string[] = [];
  for (const entry of readdirSync(folder, { recursive: true, encoding: 'utf8' })) {
    if (entry.endsWith('.ts')) found.push(join(folder, entry));
  }
  return found;
}

/** Tools except the soak, which acts as the platform's callers, store and servers. */
function listTools(): string[] {
  return listSources('tools').filter((file) => !file.startsWith(join('tools', 'soak')));
}

describe("the platform's names", () => {
  it('are used only in the adapter', () => {
    const offenders: string[] = [];
    for (const file of [...listSources('src'), ...listTools()]) {
      const text = readFileSync(file, 'utf8').toLowerCase();
      for (const name of WIRE_NAMES) {
        if (text.includes(name.toLowerCase())) offenders.push(`${file}: ${name}`);
      }
    }
    expect(offenders).to.deep.equal([]);
  });
});
