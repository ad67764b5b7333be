import { expect } from 'chai';
import { describeFindings } from '../../tools/bench/findings.js';
import type { Outcome } from '../../tools/bench/outcome.js';
import { createPlans } from '../../tools/bench/plans.js';
import type { RunRecord } from '../../tools/bench/run.js';
import { summarize } from '../../tools/bench/summary.js';

const SECONDS = 10;

function createOutcome(atMs: number, team: string, result: Outcome['result']): Outcome {
  return {
    id: 0,
    team,
    isLarge: team === 'large',
    class: 'worked-answer',
    atMs,
    latenessMs: 0,
    result,
    reason: result === 'refused' ? 'cannot-be-on-time at permit.ask' : '',
    firstTokenMs: 100,
    totalMs: 200,
    gapsMs: [30, 40],
    promptTokens: 100,
    cachedTokens: 25,
  };
}

function createRecord(fault: string, resultAt: (second: number) => Outcome['result']): RunRecord {
  const [plan] = createPlans({
    policies: 'reedtally',
    deployment: 'tema',
    seeds: '1',
    loads: '0.9',
    largeFactors: '1',
    faults: fault,
    changeCosts: undefined,
    seconds: SECONDS,
    phaseSeconds: undefined,
    basePort: 0,
    parallel: 1,
  });
  if (plan === undefined) throw new Error('no plan');
  const outcomes: Outcome[] = [];
  for (let second = 0; second < SECONDS; second++) {
    outcomes.push(createOutcome(second * 1_000, 'large', resultAt(second)));
    outcomes.push(createOutcome(second * 1_000, 'small-1', 'good'));
  }
  const standIns = { busiestCpuShare: 0, probeP99Ms: 0 };
  return { plan, outcomes, retries: {}, roleChanges: 0, generators: [], standIns, invalid: [] };
}

describe('the summary of a run', () => {
  it('counts what was whole and on time, after the warm-up', () => {
    const record = createRecord('none', (second) => (second % 2 === 0 ? 'good' : 'refused'));
    const summary = summarize(record, 2);
    expect(summary.large).to.include({ offered: 8, good: 4, goodShare: 0.5 });
    expect(summary.small.goodShare).to.equal(1);
    expect(summary.goodput).to.equal(12 / 8);
    expect(summary.ends).to.deep.equal({ 'refused: cannot-be-on-time at permit.ask': 4 });
    expect(summary.cachedShare).to.equal(0.25);
    expect(summary.all.firstToken.p95).to.equal(100);
  });

  it("gives Jain's index over the teams", () => {
    const half = summarize(
      createRecord('none', (second) => (second % 2 === 0 ? 'good' : 'late-whole')),
      0,
    );
    expect(half.jain).to.be.closeTo(1.5 ** 2 / (2 * 1.25), 1e-9);
  });

  it('says how long after a fault goodput was back', () => {
    const calm = summarize(
      createRecord('none', () => 'good'),
      0,
    );
    const lossy = createRecord('engine-lost', (second) =>
      second === 5 || second === 6 ? 'failed' : 'good',
    );
    const findings = describeFindings([calm, summarize(lossy, 0)], 5);
    expect(findings.join()).to.include('back to 95% of the run without the fault 2 s after');
  });
});
