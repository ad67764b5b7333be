/**
 * What the runs say about the aims: ratios of goodput, what small teams feel of the large one, and
 * how soon goodput is back after a loss. Only what the runs at hand can tell is told.
 */
import type { RunSummary } from './summary.js';

/** Goodput counts as back when this share of what it was without the fault is reached. */
const RECOVERED_SHARE = 0.95;
/** Seconds over which goodput is compared, since a single second has few requests. */
const WINDOW_SECONDS = 3;

/**
 * Says what the runs tell, one line each.
 *
 * @param summaries all runs of an experiment
 * @param faultAtSeconds when faults came
 */
export function describeFindings(
  summaries: readonly RunSummary[],
  faultAtSeconds: number,
): string[] {
  const lines: string[] = [];
  for (const summary of summaries) {
    lines.push(...compareWithLeast(summary, summaries));
    lines.push(...compareWithAlone(summary, summaries));
    lines.push(...describeRecovery(summary, summaries, faultAtSeconds));
  }
  return lines;
}

/** Finds a run that differs from another in one thing only. */
function findCounterpart(
  summary: RunSummary,
  summaries: readonly RunSummary[],
  change: Partial<RunSummary>,
): RunSummary | undefined {
  const wanted = { ...summary, ...change };
  return summaries.find(
    (other) =>
      other.policy === wanted.policy &&
      other.seed === wanted.seed &&
      other.fault === wanted.fault &&
      other.load === wanted.load &&
      other.largeFactor === wanted.largeFactor &&
      other.changeCost === wanted.changeCost,
  );
}

function compareWithLeast(summary: RunSummary, summaries: readonly RunSummary[]): string[] {
  if (summary.policy === 'least-reported') return [];
  const least = findCounterpart(summary, summaries, { policy: 'least-reported' });
  if (least === undefined || least.goodput === 0) return [];
  const ratio = summary.goodput / least.goodput;
  return [`${summary.name}: goodput over least reported load: ${ratio.toFixed(2)}`];
}

function compareWithAlone(summary: RunSummary, summaries: readonly RunSummary[]): string[] {
  if (summary.largeFactor === 0) return [];
  const alone = findCounterpart(summary, summaries, { largeFactor: 0 });
  if (alone === undefined) return [];
  const { small, smallShort, name } = summary;
  const ratio = small.firstToken.p95 / alone.small.firstToken.p95;
  const shortRatio = smallShort.firstToken.p95 / alone.smallShort.firstToken.p95;
  const onTime = (smallShort.goodShare * 100).toFixed(1);
  return [
    `${name}: short questions of small teams on time: ${onTime}%`,
    `${name}: small teams' p95 first token over alone: ${ratio.toFixed(2)}, short questions ${shortRatio.toFixed(2)}`,
  ];
}

function describeRecovery(
  summary: RunSummary,
  summaries: readonly RunSummary[],
  faultAtSeconds: number,
): string[] {
  if (summary.fault === 'none') return [];
  const calm = findCounterpart(summary, summaries, { fault: 'none' });
  if (calm === undefined) return [];
  const total = summary.all.good / Math.max(1, calm.all.good);
  const seconds = findRecovery(summary, calm, Math.floor(faultAtSeconds));
  const back = seconds === undefined ? 'not within the run' : `${seconds} s after the fault`;
  return [
    `${summary.name}: goodput back to 95% of the run without the fault ${back}; over the run ${(total * 100).toFixed(1)}%`,
  ];
}

/** Whole seconds from the fault until goodput, over a window, is what it was without the fault. */
function findRecovery(
  summary: RunSummary,
  calm: RunSummary,
  faultAtSeconds: number,
): number | undefined {
  for (let second = faultAtSeconds; second + WINDOW_SECONDS <= calm.timeline.length; second++) {
    const wanted = countGood(calm, second);
    if (countGood(summary, second) >= wanted * RECOVERED_SHARE) return second - faultAtSeconds;
  }
  return undefined;
}

function countGood({ timeline }: RunSummary, from: number): number {
  let good = 0;
  for (const entry of timeline.slice(from, from + WINDOW_SECONDS)) {
    good += entry.good;
  }
  return good;
}
