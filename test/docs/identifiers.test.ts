import { existsSync, readdirSync, readFileSync, statSync } from 'node:fs';
import path from 'node:path';
import { expect } from 'chai';

const SOURCES = ['src', 'platform', 'tools', 'test', 'stand-ins', 'examples'];
const PRODUCT = /^(?:src|platform)\//;
const SETTINGS = ['deploy', 'bench', 'bench-days', 'replay', 'scenarios', '.ci'];
const SETTINGS_FILES = [
  'package.json',
  'tsconfig.json',
  'eslint.config.js',
  '.mocharc.json',
  '.prettierrc.json',
];
// What happened, in the words of its time
const HISTORY = path.join('docs', 'incidents');
// Names of Node.js, of its errors and of commands; patterns for names
const NOT_OURS = new Set(['EADDRINUSE', 'NODE_EXTRA_CA_CERTS', 'sha256sum', 'tsx']);
const PATTERNS = new Set(['createX', 'resolveX', 'parseX']);
// Ids of commits, of journal entries and of requests
const ID = /^(?=.*\d)[0-9a-f]{7,40}$/;

// Its own lists don't make a name known
const THIS_FILE = path.join('test', 'docs', 'identifiers.test.ts');

const FENCE = /^ *```.*?^ *```/gms;
const SPAN = /(`+)(?!`)(.+?)(?<!`)\1(?!`)/gs;
const FILE = /^[\w./-]+\.ts$/;
const PLACE = new RegExp(`^(?:${SOURCES.join('|')})(?:/[\\w.-]+)+/?$`);
const IDENTIFIER = /^[A-Za-z_$][\w$]*(?:\.[A-Za-z_$][\w$]*)*(?:\(\))?$/;
const WORD = /[A-Za-z_$][\w$]*/g;

function listFiles(directory: string): string[] {
  return readdirSync(directory, { recursive: true, encoding: 'utf8' })
    .map((entry) => path.join(directory, entry))
    .filter((file) => statSync(file).isFile());
}

function listPages(): string[] {
  const pages = listFiles('docs').filter((file) => file.endsWith('.md'));
  const current = pages.filter((file) => !file.startsWith(HISTORY + path.sep));
  return ['README.md', 'CONTRIBUTING.md', ...current];
}

function listSpans(text: string): string[] {
  return [...text.replace(FENCE, '').matchAll(SPAN)].map(([, , span = '']) => span.trim());
}

describe('identifiers on the pages', () => {
  const sources = SOURCES.flatMap(listFiles).filter((file) => file.endsWith('.ts'));
  const others = sources.filter((file) => file !== THIS_FILE);
  const texts = [...others, ...SETTINGS.flatMap(listFiles), ...SETTINGS_FILES];
  const words = new Set(texts.flatMap((file) => readFileSync(file, 'utf8').match(WORD) ?? []));
  // A base name alone stands for a file of the product; a tool or test may have the same
  const product = sources.filter((file) => PRODUCT.test(file));
  const files = new Set([...sources, ...product.map((file) => path.basename(file))]);

  function isKnown(span: string): boolean {
    if (FILE.test(span)) return files.has(path.normalize(span));
    if (PLACE.test(span)) return existsSync(span);
    if (!IDENTIFIER.test(span) || ID.test(span)) return true;
    if (NOT_OURS.has(span) || PATTERNS.has(span)) return true;
    return (span.match(WORD) ?? []).every((word) => words.has(word));
  }

  it('each name, folder and .ts file in backquotes stands in the code or the settings', () => {
    const unknown: string[] = [];
    for (const page of listPages()) {
      for (const span of listSpans(readFileSync(page, 'utf8'))) {
        if (!isKnown(span)) unknown.push(`${page}: ${span}`);
      }
    }
    expect(unknown).to.deep.equal([]);
  });
});
