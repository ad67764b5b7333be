/**
 * Prints runs side by side, as lines of text.
 */
import type { GroupSummary, RunSummary } from './summary.js';

const NAME_WIDTH = 27;
const COLUMN_WIDTH = 17;
const MAX_ENDS = 8;

/** One line of the table. */
interface Row {
  name: string;
  read: (summary: RunSummary) => string;
}

function percent(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}

function goodOf({ good, offered, goodShare }: GroupSummary): string {
  return `${good}/${offered} ${percent(goodShare)}`;
}

function times({ p50, p95, p99 }: GroupSummary['firstToken']): string {
  return `${p50.toFixed(0)}/${p95.toFixed(0)}/${p99.toFixed(0)}`;
}

const rows: readonly Row[] = [
  { name: 'goodput, answers/s', read: ({ goodput }) => goodput.toFixed(2) },
  { name: 'good: all', read: ({ all }) => goodOf(all) },
  { name: '  verdicts', read: ({ byClass }) => goodOf(byClass.verdict) },
  { name: '  worked answers', read: ({ byClass }) => goodOf(byClass['worked-answer']) },
  { name: '  service calls', read: ({ byClass }) => goodOf(byClass['service-call']) },
  { name: '  large team', read: ({ large }) => goodOf(large) },
  { name: '  small teams', read: ({ small }) => goodOf(small) },
  { name: '  small, worked answers', read: ({ smallShort }) => goodOf(smallShort) },
  { name: '  small, verdicts', read: ({ smallVerdicts }) => goodOf(smallVerdicts) },
  { name: 'first token p50/95/99 ms', read: ({ all }) => times(all.firstToken) },
  { name: '  verdicts', read: ({ byClass }) => times(byClass.verdict.firstToken) },
  { name: '  worked answers', read: ({ byClass }) => times(byClass['worked-answer'].firstToken) },
  { name: '  small teams', read: ({ small }) => times(small.firstToken) },
  { name: '  small, worked answers', read: ({ smallShort }) => times(smallShort.firstToken) },
  { name: 'between tokens p50/95/99', read: ({ all }) => times(all.betweenTokens) },
  { name: 'prompt tokens cached', read: ({ cachedShare }) => percent(cachedShare) },
  { name: "Jain's index", read: ({ jain }) => jain.toFixed(3) },
  { name: 'retries', read: ({ retries }) => String(sum(retries)) },
  { name: 'role changes', read: ({ roleChanges }) => String(roleChanges) },
];

function sum(counts: Record<string, number>): number {
  let total = 0;
  for (const count of Object.values(counts)) {
    total += count;
  }
  return total;
}

/**
 * Lays runs out as a table, one column each.
 *
 * @param summaries the runs
 */
export function formatTable(summaries: readonly RunSummary[]): string {
  const lines = [
    line(
      '',
      summaries.map(({ name }) => name),
    ),
  ];
  for (const { name, read } of rows) {
    lines.push(line(name, summaries.map(read)));
  }
  for (const summary of summaries) {
    lines.push(...formatEnds(summary));
  }
  return lines.join('\n');
}

function line(name: string, cells: readonly string[]): string {
  return name.padEnd(NAME_WIDTH) + cells.map((cell) => ` ${cell}`.padStart(COLUMN_WIDTH)).join('');
}

function formatEnds({ name, ends, retries, invalid }: RunSummary): string[] {
  const sorted = Object.entries(ends).sort(([, left], [, right]) => right - left);
  const shown = sorted.slice(0, MAX_ENDS).map(([reason, count]) => `${count} ${reason}`);
  const lines = [`${name}: not good: ${shown.join('; ') || 'none'}`];
  const retried = Object.entries(retries).map(([reason, count]) => `${count} ${reason}`);
  if (retried.length > 0) lines.push(`${name}: retries: ${retried.join('; ')}`);
  for (const reason of invalid) {
    lines.push(`${name}: INVALID RUN: ${reason}`);
  }
  return lines;
}
