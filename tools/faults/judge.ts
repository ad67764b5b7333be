/**
 * Judges a run by the record of the fakes and by what callers and operators were told.
 */
import { LOG_PREFIX, parseChange } from '../../src/configuration/index.js';
import type { Attempt } from './caller.js';
import { wholeAnswer } from './fakes/answers.js';
import type { Execution, ReceivedOrder } from './fakes/record.js';
import type { Point, Violation } from './points.js';
import type { History } from './workload.js';
import type { World } from './world.js';

/** A leaving server may get new work for this long. */
const LEAVING_GRACE_MS = 3_000;

/** What a run showed. */
export interface Judgement {
  violations: Violation[];
  /** How often each invariant was put to the test. */
  checks: Map<Point, number>;
}

interface Report {
  check(point: Point): void;
  violate(point: Point, detail: string): void;
}

/**
 * Judges a run.
 *
 * @param world the world at the end of the run
 * @param history what callers and operators were told
 * @param isUndisturbed whether no fault struck and nothing was broken on purpose
 */
export function judge(world: World, history: History, isUndisturbed: boolean): Judgement {
  const judgement: Judgement = { violations: [], checks: new Map() };
  const report: Report = {
    check(point) {
      judgement.checks.set(point, (judgement.checks.get(point) ?? 0) + 1);
    },
    violate(point, detail) {
      judgement.violations.push({ point, detail });
    },
  };
  judgeOrders(world, history, isUndisturbed, report);
  judgeAnswers(world, history, report);
  judgeTruth(world, history, report);
  judgeOnce(world, report);
  judgeLeaving(world, history, report);
  judgeStops(world, report);
  judgeConfiguration(world, history, report);
  judgeRecovery(history, report);
  if (isUndisturbed) judgePlannedChanges(history, report);
  return judgement;
}

function judgeOrders(world: World, history: History, isUndisturbed: boolean, report: Report): void {
  const answered = listAnswered(history);
  const taken = new Map<string, ReceivedOrder>();
  for (const received of world.record.orders) {
    if (received.result !== 'taken') continue;
    const { engine, order, node } = received;
    report.check('no conflicting orders');
    report.check('no cut by a planned change');
    report.check('no effect without authority');
    const former = taken.get(engine);
    taken.set(engine, received);
    const name = `${engine}: ${order.orderId} of ${node} under fence ${order.fence}`;
    if (received.wasBusy)
      report.violate('no conflicting orders', `${name} while another took effect`);
    for (const requestId of received.cut) {
      // A router cut off from the holder has no permit; it resumes what an order cut.
      if (answered.has(requestId) && !isUndisturbed) continue;
      report.violate('no cut by a planned change', `${name} cut ${requestId}`);
    }
    if (former === undefined) continue;
    if (order.fence < former.order.fence) {
      report.violate('no effect without authority', `${name} after fence ${former.order.fence}`);
    }
    const isSame = order.orderId === former.order.orderId;
    if (order.fence === former.order.fence && node !== former.node && !isSame) {
      report.violate('no conflicting orders', `${name} as well as of ${former.node}`);
    }
  }
}

function listAnswered(history: History): Set<string> {
  const answered = new Set<string>();
  for (const { told, requestId } of [...history.attempts, ...history.probes]) {
    if (told.kind === 'answered' && requestId !== undefined) answered.add(requestId);
  }
  return answered;
}

function judgeAnswers(world: World, history: History, report: Report): void {
  const executions = new Map<string, Execution[]>();
  for (const execution of world.record.executions) {
    const same = executions.get(execution.key) ?? [];
    executions.set(execution.key, [...same, execution]);
  }
  for (const { question, told, node } of [...history.attempts, ...history.probes]) {
    if (told.kind !== 'answered') continue;
    report.check('the whole answer to its own request');
    const isOwn =
      question.kind === 'completion'
        ? told.text === wholeAnswer(question.name)
        : (executions.get(question.name) ?? []).some(({ answer }) => answer === told.text);
    if (isOwn) continue;
    report.violate(
      'the whole answer to its own request',
      `${question.name} at ${node}: "${told.text}"`,
    );
  }
}

function judgeTruth(world: World, history: History, report: Report): void {
  const ran = new Set(world.record.executions.map(({ requestId }) => requestId));
  for (const { question, told, requestId, node } of [...history.attempts, ...history.probes]) {
    if (told.kind !== 'failed' || told.failure.outcome !== 'not-run') continue;
    report.check('not run is true');
    if (requestId === undefined || !ran.has(requestId)) continue;
    const { code, step } = told.failure;
    report.violate('not run is true', `${question.name} at ${node} ran, told ${code} at ${step}`);
  }
}

function judgeOnce(world: World, report: Report): void {
  const servers = new Map<string, string[]>();
  for (const { key, server } of world.record.executions) {
    if (!key.startsWith('key-') && !key.startsWith('probe-')) continue;
    servers.set(key, [...(servers.get(key) ?? []), server]);
  }
  for (const [key, ran] of servers) {
    report.check('at most once');
    if (ran.length > 1) report.violate('at most once', `${key} ran on ${ran.join(' and ')}`);
  }
}

function judgeLeaving(world: World, history: History, report: Report): void {
  for (const { since } of history.leavings) {
    if (since < Infinity) report.check('a leaving server gets no new work');
  }
  for (const { at, server, node, informedAt } of world.record.arrivals) {
    for (const leaving of history.leavings) {
      if (leaving.server !== server) continue;
      const from = Math.max(leaving.since, informedAt) + LEAVING_GRACE_MS;
      if (at <= from || at >= leaving.until) continue;
      const late = `${Math.round(at - leaving.since)} ms after it left by ${leaving.source}`;
      report.violate('a leaving server gets no new work', `${server} got work of ${node} ${late}`);
    }
  }
}

function judgeStops(world: World, report: Report): void {
  for (const { name, cutByStop, stopAt } of world.runs) {
    if (stopAt !== undefined) report.check('a planned stop cuts nothing');
    if (cutByStop > 0)
      report.violate('a planned stop cuts nothing', `${name} cut ${cutByStop} requests`);
  }
}

function judgeConfiguration(world: World, history: History, report: Report): void {
  const point = 'configuration in force everywhere, never back';
  const marks = new Map<string, number>();
  let newest = 0;
  for (const row of world.table.rows.values()) {
    if (!row.key.startsWith(LOG_PREFIX)) continue;
    const parsed = parseChange(row);
    if (parsed.isErr()) continue;
    const change = parsed.value;
    newest = Math.max(newest, change.version);
    const mark = change.object?.kind === 'team' ? change.object.labels.mark : undefined;
    if (mark !== undefined) marks.set(mark, change.version);
  }
  for (const { mark, told, node } of history.changes) {
    if (mark === '' || mark === 'first') continue;
    const version = marks.get(mark);
    report.check(point);
    if (told.kind === 'accepted' && version !== told.version) {
      report.violate(
        point,
        `${mark} accepted at ${node} as ${told.version}, the log has ${version ?? 0}`,
      );
    }
    if (told.kind === 'failed' && told.outcome === 'not-run' && version !== undefined) {
      report.violate('not run is true', `${mark} refused at ${node} (${told.code}), in the log`);
    }
  }
  for (const { name, versions, process } of world.runs) {
    for (const [index, version] of versions.entries()) {
      const former = versions[index - 1] ?? -1;
      if (version < former) report.violate(point, `${name} went from ${former} back to ${version}`);
    }
    const last = versions.at(-1) ?? 0;
    if (process.isDead() || last === newest) continue;
    report.violate(point, `${name} has ${last} in force at the end, the log has ${newest}`);
  }
}

function judgeRecovery(history: History, report: Report): void {
  if (history.probes.length === 0) report.violate('service resumes by itself', 'no probe was sent');
  for (const { question, told, node } of history.probes) {
    report.check('service resumes by itself');
    if (told.kind === 'answered') continue;
    report.violate('service resumes by itself', `${question.name} at ${node}: ${describe(told)}`);
  }
}

/** Where nothing broke, planned changes alone may cost no request its answer. */
function judgePlannedChanges(history: History, report: Report): void {
  for (const { question, told, node } of history.attempts) {
    const isCut =
      told.kind === 'failed' &&
      told.failure.outcome === 'unknown' &&
      told.failure.code !== 'in-progress';
    if (isCut) {
      report.violate(
        'no cut by a planned change',
        `${question.name} at ${node}: ${describe(told)}`,
      );
    }
  }
}

function describe(told: Attempt['told']): string {
  if (told.kind !== 'failed') return told.kind;
  const { code, step, outcome, peer } = told.failure;
  return `${outcome}, ${code} at ${step} of ${peer}`;
}
