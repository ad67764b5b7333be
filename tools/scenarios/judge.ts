/**
 * Verdicts, from what callers received and what the stand-ins recorded; nothing is taken from what
 * nodes say of themselves. Each function returns one line for each violation.
 */
import type { Outcome } from './outcomes.js';
import type { Records } from './records.js';

/** What the engines' and services' records add up to. */
export interface RecordCounts {
  /** Generations that engines began, with those that resumed. */
  starts: number;
  /** Streams that ended before their answer did, by the engine or by the reader. */
  engineCuts: number;
  /** Calls that services ran. */
  executions: number;
  /** Orders that changed an engine. */
  roleChanges: number;
}

/** Adds records up. */
export function countRecords({ engines, services }: Records): RecordCounts {
  const counts = { starts: 0, engineCuts: 0, executions: 0, roleChanges: 0 };
  for (const entries of engines.values()) {
    for (const entry of entries) {
      if (entry.event === 'start') counts.starts += 1;
      if (entry.event === 'cut' || entry.event === 'disconnect') counts.engineCuts += 1;
      if (entry.event === 'order' && entry.result === 'changes') counts.roleChanges += 1;
    }
  }
  for (const entries of services.values()) {
    for (const entry of entries) {
      if (entry.event === 'execution') counts.executions += 1;
    }
  }
  return counts;
}

/** Every answer that was given is whole and its own, and none was held back. */
export function judgeAnswers(outcomes: readonly Outcome[]): string[] {
  const found: string[] = [];
  for (const { label, attempts } of outcomes) {
    for (const { end, detail, node } of attempts) {
      if (end !== 'wrong' && end !== 'held-back') continue;
      found.push(`${label}: ${end} from ${node}: ${detail}`);
    }
  }
  return found;
}

/** Every request got its answer in the end; or every one that may be repeated. */
export function judgeAnswered(outcomes: readonly Outcome[], onlyRepeatable: boolean): string[] {
  const found: string[] = [];
  for (const { kind, label, end, attempts } of outcomes) {
    if (end === 'whole' || (onlyRepeatable && kind === 'billed-call')) continue;
    const sendings = attempts.map((one) => `${one.node} ${one.end} ${one.detail}`);
    found.push(`${label}: ${end} after ${sendings.join('; ')}`);
  }
  return found;
}

/** Nothing ran of what was refused as not run. */
export function judgeRefusals(outcomes: readonly Outcome[], records: Records): string[] {
  const ran = findRequestsThatRan(records);
  const found: string[] = [];
  for (const { label, attempts } of outcomes) {
    for (const { end, requestId = '', detail } of attempts) {
      if (end === 'not-run' && ran.has(requestId)) found.push(`${label}: ran, but ${detail}`);
    }
  }
  return found;
}

function findRequestsThatRan({ engines, services }: Records): Set<string> {
  const ran = new Set<string>();
  for (const entries of engines.values()) {
    for (const entry of entries) {
      if (entry.event === 'start') ran.add(entry.requestId);
    }
  }
  for (const entries of services.values()) {
    for (const entry of entries) {
      if (entry.event === 'execution') ran.add(entry.requestId);
    }
  }
  return ran;
}

/** No billed call ran twice, and each that was answered ran. */
export function judgeExecutions(outcomes: readonly Outcome[], records: Records): string[] {
  const executions = new Map<string, number>();
  for (const entries of records.services.values()) {
    for (const entry of entries) {
      if (entry.event !== 'execution') continue;
      executions.set(entry.path, (executions.get(entry.path) ?? 0) + 1);
    }
  }
  const found: string[] = [];
  for (const { kind, label, path, end } of outcomes) {
    const ran = executions.get(path) ?? 0;
    if (kind === 'billed-call' && ran > 1) found.push(`${label}: ${path} ran ${ran} times`);
    if (kind !== 'generation' && end === 'whole' && ran === 0) {
      found.push(`${label}: ${path} was answered but never ran`);
    }
  }
  return found;
}

/** No engine got an order while another took effect, nor two orders under one fencing number. */
export function judgeConflicts({ engines }: Records): string[] {
  const found: string[] = [];
  for (const [engine, entries] of engines) {
    const nodeByFence = new Map<number, string>();
    for (const entry of entries) {
      if (entry.event !== 'order' || entry.result === 'stale-fence') continue;
      const { fence, node, orderId, whileBusy, result } = entry;
      if (whileBusy && result === 'changes') {
        found.push(`${engine}: order ${orderId} of ${node} came while another took effect`);
      }
      const other = nodeByFence.get(fence);
      if (other !== undefined && other !== node) {
        found.push(`${engine}: ${node} and ${other} gave orders under fencing number ${fence}`);
      }
      nodeByFence.set(fence, node);
    }
  }
  return found;
}

/** No order under a smaller fencing number than one before it had an effect. */
export function judgeFences({ engines }: Records): string[] {
  const found: string[] = [];
  for (const [engine, entries] of engines) {
    let highest = 0;
    for (const entry of entries) {
      if (entry.event === 'crash') highest = 0;
      if (entry.event !== 'order' || entry.result === 'stale-fence') continue;
      const { fence, node, orderId } = entry;
      if (fence < highest) {
        found.push(
          `${engine}: order ${orderId} of ${node} under ${fence} took effect after ${highest}`,
        );
      }
      highest = Math.max(highest, fence);
    }
  }
  return found;
}

/** No engine and no caller saw a request cut. */
export function judgeCuts(outcomes: readonly Outcome[], records: Records): string[] {
  const found: string[] = [];
  for (const { label, attempts } of outcomes) {
    for (const { end, node, detail } of attempts) {
      if (end === 'broken') found.push(`${label}: cut at ${node}: ${detail}`);
    }
  }
  for (const [engine, entries] of records.engines) {
    for (const entry of entries) {
      if (entry.event === 'cut') found.push(`${engine}: cut ${entry.requestId} (${entry.cause})`);
      if (entry.event === 'disconnect' || entry.event === 'cancel') {
        found.push(`${engine}: ${entry.event} of ${entry.requestId} after ${entry.tokens} tokens`);
      }
    }
  }
  return found;
}

/** A server began nothing after an entry of its record. */
export function judgeNewWork(records: Records, server: string, after: number): string[] {
  const found: string[] = [];
  for (const entry of records.engines.get(server) ?? []) {
    if (entry.event !== 'received' || entry.sequence <= after) continue;
    found.push(`${server}: ${entry.requestId} came at ${entry.atMs.toFixed(0)} ms`);
  }
  for (const entry of records.services.get(server) ?? []) {
    if (entry.event !== 'execution' && entry.event !== 'declined') continue;
    if (entry.sequence <= after) continue;
    found.push(`${server}: ${entry.requestId} came at ${entry.atMs.toFixed(0)} ms`);
  }
  return found;
}
