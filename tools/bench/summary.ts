/**
 * Sums a run up: goodput by class and team size, latencies, refusals, cache hits and fairness.
 */
import { build, type Histogram } from 'hdr-histogram-js';
import type { ClassName } from './arrivals.js';
import type { Outcome } from './outcome.js';
import type { RunRecord } from './run.js';

/** Percentiles of a time, in milliseconds. */
export interface Percentiles {
  count: number;
  p50: number;
  p95: number;
  p99: number;
}

/** What a group of requests came to. */
export interface GroupSummary {
  offered: number;
  good: number;
  /** Good answers as a share of requests offered. */
  goodShare: number;
  firstToken: Percentiles;
  betweenTokens: Percentiles;
}

/** What a run came to. */
export interface RunSummary {
  name: string;
  policy: string;
  seed: number;
  fault: string;
  load: number;
  largeFactor: number;
  changeCost: number;
  all: GroupSummary;
  byClass: Record<ClassName, GroupSummary>;
  large: GroupSummary;
  small: GroupSummary;
  /** Short questions of small teams. */
  smallShort: GroupSummary;
  /** Verdicts of small teams. */
  smallVerdicts: GroupSummary;
  /** Good answers a second. */
  goodput: number;
  /** How requests ended other than well, by result and reason. */
  ends: Record<string, number>;
  retries: Record<string, number>;
  roleChanges: number;
  /** Share of the prompt tokens of answered generations that engines found cached. */
  cachedShare: number;
  /** Jain's index over the teams' shares of good answers; 1 when all teams do equally well. */
  jain: number;
  /** Good and offered requests by second of their sending. */
  timeline: { second: number; offered: number; good: number }[];
  generators: RunRecord['generators'];
  standIns: RunRecord['standIns'];
  invalid: string[];
}

const MAX_TRACKED_MS = 120_000;
const TENTHS = 10;
const MS_PER_SECOND = 1_000;

/**
 * Sums a run up.
 *
 * @param record what the run gave
 * @param warmUpSeconds requests sent before this are left out
 */
export function summarize(record: RunRecord, warmUpSeconds: number): RunSummary {
  const { plan } = record;
  const counted = record.outcomes.filter(({ atMs }) => atMs >= warmUpSeconds * MS_PER_SECOND);
  const all = summarizeGroup(counted);
  const ofClass = (name: ClassName) => counted.filter((outcome) => outcome.class === name);
  const small = counted.filter(({ isLarge }) => !isLarge);
  return {
    name: plan.name,
    policy: plan.policy.name,
    seed: plan.offer.seed,
    fault: plan.fault,
    load: plan.offer.load,
    largeFactor: plan.offer.largeFactor,
    changeCost: plan.changeCost,
    all,
    byClass: {
      verdict: summarizeGroup(ofClass('verdict')),
      'worked-answer': summarizeGroup(ofClass('worked-answer')),
      'service-call': summarizeGroup(ofClass('service-call')),
    },
    large: summarizeGroup(counted.filter(({ isLarge }) => isLarge)),
    small: summarizeGroup(small),
    smallShort: summarizeGroup(small.filter((outcome) => outcome.class === 'worked-answer')),
    smallVerdicts: summarizeGroup(small.filter((outcome) => outcome.class === 'verdict')),
    goodput: all.good / (plan.offer.seconds - warmUpSeconds),
    ends: countEnds(counted),
    retries: record.retries,
    roleChanges: record.roleChanges,
    cachedShare: resolveCachedShare(counted),
    jain: resolveJain(counted),
    timeline: createTimeline(record.outcomes, plan.offer.seconds),
    generators: record.generators,
    standIns: record.standIns,
    invalid: record.invalid,
  };
}

/**
 * Sums up a group of requests.
 *
 * @param outcomes what became of them
 */
export function summarizeGroup(outcomes: readonly Outcome[]): GroupSummary {
  const firstToken = createHistogram();
  const betweenTokens = createHistogram();
  let good = 0;
  for (const outcome of outcomes) {
    if (outcome.result === 'good') good += 1;
    if (outcome.firstTokenMs !== undefined) record(firstToken, outcome.firstTokenMs);
    for (const gap of outcome.gapsMs) {
      record(betweenTokens, gap);
    }
  }
  const offered = outcomes.length;
  return {
    offered,
    good,
    goodShare: offered === 0 ? 0 : good / offered,
    firstToken: readPercentiles(firstToken),
    betweenTokens: readPercentiles(betweenTokens),
  };
}

/** A histogram of tenths of milliseconds. */
function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_TRACKED_MS * TENTHS,
    numberOfSignificantValueDigits: 3,
  });
}

function record(histogram: Histogram, ms: number): void {
  histogram.recordValue(Math.min(MAX_TRACKED_MS * TENTHS, Math.max(1, Math.round(ms * TENTHS))));
}

function readPercentiles(histogram: Histogram): Percentiles {
  const at = (percentile: number) => histogram.getValueAtPercentile(percentile) / TENTHS;
  return { count: histogram.totalCount, p50: at(50), p95: at(95), p99: at(99) };
}

function countEnds(outcomes: readonly Outcome[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { result, reason } of outcomes) {
    if (result === 'good') continue;
    const name = reason === '' ? result : `${result}: ${reason}`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

function resolveCachedShare(outcomes: readonly Outcome[]): number {
  let prompt = 0;
  let cached = 0;
  for (const { promptTokens, cachedTokens } of outcomes) {
    prompt += promptTokens;
    cached += cachedTokens;
  }
  return prompt === 0 ? 0 : cached / prompt;
}

function resolveJain(outcomes: readonly Outcome[]): number {
  const teams = new Map<string, Outcome[]>();
  for (const outcome of outcomes) {
    const own = teams.get(outcome.team) ?? [];
    own.push(outcome);
    teams.set(outcome.team, own);
  }
  let sum = 0;
  let squares = 0;
  for (const own of teams.values()) {
    const share = own.filter(({ result }) => result === 'good').length / own.length;
    sum += share;
    squares += share * share;
  }
  return squares === 0 ? 0 : (sum * sum) / (teams.size * squares);
}

function createTimeline(outcomes: readonly Outcome[], seconds: number): RunSummary['timeline'] {
  const timeline: RunSummary['timeline'] = [];
  for (let second = 0; second < seconds; second++) {
    timeline.push({ second, offered: 0, good: 0 });
  }
  for (const { atMs, result } of outcomes) {
    const entry = timeline[Math.floor(atMs / MS_PER_SECOND)];
    if (entry === undefined) continue;
    entry.offered += 1;
    if (result === 'good') entry.good += 1;
  }
  return timeline;
}
