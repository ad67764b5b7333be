/**
 * Checks what a scenario expects.
 */
import { match } from 'ts-pattern';
import { waitUntil } from '../common/index.js';
import {
  countRecords,
  judgeAnswered,
  judgeAnswers,
  judgeConflicts,
  judgeCuts,
  judgeExecutions,
  judgeFences,
  judgeNewWork,
  judgeRefusals,
} from './judge.js';
import { readRecords } from './records.js';
import type { Stage } from './stage.js';
import type { Expectation } from './steps.js';

/**
 * Checks one expectation.
 *
 * @param stage the running scenario
 * @param expectation what is expected
 * @returns one line for each violation
 */
export async function check(stage: Stage, expectation: Expectation): Promise<string[]> {
  const { outcomes } = stage.load;
  for (const zone of stage.lostZones) stage.cluster.servers(zone).signal('SIGCONT');
  const records = await readRecords(stage.cluster);
  return match(expectation)
    .returnType<string[] | Promise<string[]>>()
    .with({ kind: 'answers-whole' }, () => judgeAnswers(outcomes))
    .with({ kind: 'every-request-answered' }, () => judgeAnswered(outcomes, false))
    .with({ kind: 'every-repeatable-answered' }, () => judgeAnswered(outcomes, true))
    .with({ kind: 'refusals-true' }, () => judgeRefusals(outcomes, records))
    .with({ kind: 'no-execution-twice' }, () => judgeExecutions(outcomes, records))
    .with({ kind: 'no-conflicting-orders' }, () => judgeConflicts(records))
    .with({ kind: 'no-stale-order' }, () => judgeFences(records))
    .with({ kind: 'orders-at-least' }, ({ count }) => {
      const { roleChanges } = countRecords(records);
      return roleChanges >= count ? [] : [`engines took ${roleChanges} orders`];
    })
    .with({ kind: 'no-cut' }, () => judgeCuts(outcomes, records))
    .with({ kind: 'no-new-work' }, async ({ server }) => {
      const cutoff = stage.cutoffs.get(server);
      if (cutoff === undefined) return [`nothing said that ${server} leaves`];
      const after = await cutoff;
      return judgeNewWork(await readRecords(stage.cluster), server, after);
    })
    .with({ kind: 'change-in-force' }, async ({ withinMs }) => {
      const tookMs = await stage.inForce.at(-1);
      if (tookMs === undefined) return ['no change was accepted'];
      return tookMs <= withinMs ? [] : [`in force after ${tookMs.toFixed(0)} ms`];
    })
    .with({ kind: 'never-reverts' }, () => stage.watch.reversions())
    .with({ kind: 'every-node-ready' }, ({ withinMs }) => checkReady(stage, withinMs, true))
    .with({ kind: 'every-node-serving' }, ({ withinMs }) => checkReady(stage, withinMs, false))
    .with({ kind: 'some-refused' }, () => {
      const refused = outcomes.some(({ attempts }) =>
        attempts.some(({ end }) => end === 'not-run'),
      );
      return refused ? [] : ['no request was refused'];
    })
    .with({ kind: 'one-accepted' }, () => {
      return stage.accepted === 1 ? [] : [`${stage.accepted} were accepted`];
    })
    .with({ kind: 'refused-with' }, ({ code }) => {
      return stage.codes.includes(code) ? [] : [`refusals were ${stage.codes.join(', ')}`];
    })
    .exhaustive();
}

async function checkReady(stage: Stage, withinMs: number, withLease: boolean): Promise<string[]> {
  try {
    for (const node of stage.cluster.running()) {
      await waitUntil(`${node} ready`, withinMs, async () => {
        const status = await stage.cluster.status(node);
        return status?.ready === true && (status.lease.held || !withLease);
      });
    }
    return [];
  } catch (error) {
    return [String(error)];
  }
}
