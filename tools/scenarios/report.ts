/**
 * How verdicts are printed.
 */
import type { Verdict } from './run.js';

interface Column {
  title: string;
  read: (verdict: Verdict) => number | undefined;
}

const columns: readonly Column[] = [
  { title: 'requests', read: ({ counts }) => counts?.requests },
  { title: 'whole', read: ({ counts }) => counts?.whole },
  { title: 'not run', read: ({ counts }) => counts?.notRun },
  { title: 'unknown', read: ({ counts }) => counts?.unknown },
  { title: 'broken', read: ({ counts }) => counts?.broken },
  { title: 'wrong', read: ({ counts }) => counts?.wrong },
  { title: 'asked again', read: ({ counts }) => counts?.askedAgain },
  { title: 'elsewhere', read: ({ counts }) => counts?.triedElsewhere },
  { title: 'engine cuts', read: ({ records }) => records?.engineCuts },
  { title: 'executions', read: ({ records }) => records?.executions },
  { title: 'role changes', read: ({ records }) => records?.roleChanges },
];

const MS_PER_SECOND = 1_000;

/** The titles of the table. */
export function tableHead(): string {
  const titles = columns.map(({ title }) => title);
  return `${titles.join('  ')}  time  scenario`;
}

/** One row, and a line for each violation. */
export function describeVerdict(verdict: Verdict): string[] {
  const cells: string[] = [];
  for (const { title, read } of columns) {
    cells.push(String(read(verdict) ?? '-').padStart(title.length));
  }
  const seconds = `${(verdict.tookMs / MS_PER_SECOND).toFixed(0)}s`.padStart(4);
  const mark = verdict.passed ? 'held' : 'VIOLATED';
  const row = `${cells.join('  ')}  ${seconds}  ${mark}: ${verdict.name}`;
  return [row, ...verdict.violations.map((line) => `    ${line}`)];
}
