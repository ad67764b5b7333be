/** Writes the generated pages. */
import { writeFileSync } from 'node:fs';
import { pages } from './pages.js';

for (const { file, render } of pages) {
  writeFileSync(file, await render());
  process.stdout.write(`${file}\n`);
}
