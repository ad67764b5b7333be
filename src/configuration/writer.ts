/**
 * Writes accepted changes. Each write is one transaction: the objects' rows on condition of the
 * revisions that were read, one log entry for each change, and the head row on condition that it is
 * still the one under which the whole configuration was checked. So versions have no gaps, and a
 * check always saw exactly the configuration that the change follows.
 *
 * A lost answer is settled by reading: the log entry of the wanted version tells whose change it
 * is. When there is none yet, the head row is rewritten as it is, which gives it a new revision, so
 * that the lost write can no longer land; only then is the write tried again or refused.
 */
import { isDeepStrictEqual } from 'node:util';
import { Err, Ok, type Result } from 'ts-results-es';
import { match } from 'ts-pattern';
import { createUnknownOutcome, createRefusal, type Failure } from '../errors/index.js';
import type { Log } from '../events/index.js';
import type { Metrics } from '../metrics/index.js';
import type { TableService, Transaction } from '../ports/index.js';
import { wait, type Clock, type RandomSource } from '../task/index.js';
import { checkChange, type Finding, type Findings } from './checks.js';
import { describeDifference } from './difference.js';
import type { Change, StoredObject } from './objects.js';
import type { ConfigurationReplica } from './replica.js';
import { applyChanges, resolveObjectId, type ObjectReference } from './snapshot.js';
import {
  HEAD_KEY,
  KEPT_LOG_ENTRIES,
  parseChange,
  readHead,
  readLogEntry,
  resolveLogKey,
  resolveObjectKey,
  type Head,
} from './table-records.js';

/** Most objects in one write. */
export const MAX_WRITTEN_OBJECTS = 1_000;

const MAX_ATTEMPTS = 8;
const MAX_READ_BACKS = 6;
const RETRY_PAUSE_MS = 20;
const ATTEMPT_PARTS = 4;
const ATTEMPT_PART_RANGE = 2 ** 32;

/** The version of an object that an operator saw. */
export interface SeenVersion extends ObjectReference {
  /** 0 when it did not exist. */
  version: number;
}

/** What an operator wants written. */
export interface WriteRequest {
  /** Objects to create or replace. */
  objects: StoredObject[];
  /** Objects to remove; ones that do not exist are passed over. */
  removals: ObjectReference[];
  /** Who asks, for the log. */
  author: string;
  /** Accepts a change that leaves a team with nowhere to go. */
  force: boolean;
  /** Refuses the write when one of these objects has another version by now. */
  expected?: SeenVersion[];
}

/** An accepted write. */
export interface AcceptedWrite {
  /** The version that has all of it in force. */
  version: number;
  /** The objects that changed; ones that were already as wanted are left out. */
  changed: ObjectReference[];
  /** What the operator had better look at. */
  warnings: Finding[];
}

/** What a writer is made of. */
export interface WriterParts {
  /** Name of this node, for failures. */
  node: string;
  table: TableService;
  replica: Pick<ConfigurationReplica, 'current' | 'caughtUp' | 'receive'>;
  clock: Clock;
  random: RandomSource;
  log: Log;
  metrics: Pick<Metrics, 'retries'>;
}

/** Writes changes of the configuration. */
export interface ConfigurationWriter {
  /**
   * Writes one request as one transaction. Refusals: `conflict` (another operator changed one of
   * the objects), `invalid-configuration`, `table-unavailable`. A failure with outcome `unknown`
   * (`table-unknown`) means that the table could not say in time what became of the write.
   */
  write(request: WriteRequest): Promise<Result<AcceptedWrite, Failure>>;
}

/** An object as the table had it before the write. */
interface BaseRow {
  reference: ObjectReference;
  revision: number;
  /** Its last change; `undefined` when it does not exist. */
  change: Change | undefined;
}

/** What one attempt came to; `again`: provably not written, and worth another attempt. */
type AttemptOutcome =
  | { kind: 'accepted'; write: AcceptedWrite }
  | { kind: 'refused'; failure: Failure }
  | { kind: 'again'; reason: string };

/** A transaction on its way. */
interface Attempt {
  id: string;
  head: Head;
  changes: Change[];
  bases: BaseRow[];
  warnings: Finding[];
}

/** How a lost answer was settled. */
type Settlement = 'written' | 'not-written' | 'undecided';

/**
 * Creates a writer.
 *
 * @param parts what it is made of
 */
export function createConfigurationWriter(parts: WriterParts): ConfigurationWriter {
  const { node, table, replica, clock, random, log, metrics } = parts;

  async function write(request: WriteRequest): Promise<Result<AcceptedWrite, Failure>> {
    const mistake = checkRequest(request, node);
    if (mistake !== undefined) return Err(mistake);
    const bases = await readBases(table, request);
    if (bases.isErr()) return bases;
    const outdated = await findOutdated(request, bases.value);
    if (outdated !== undefined) return Err(outdated);
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const outcome = await tryOnce(request, bases.value);
      if (outcome.kind === 'accepted') return Ok(outcome.write);
      if (outcome.kind === 'refused') return Err(outcome.failure);
      metrics.retries.inc({ reason: outcome.reason });
      await wait(clock, RETRY_PAUSE_MS * (1 + random.next()) * (attempt + 1));
    }
    return Err(describeCrowding(node));
  }

  async function tryOnce(request: WriteRequest, bases: BaseRow[]): Promise<AttemptOutcome> {
    const head = await readHead(table);
    if (head.isErr()) return { kind: 'refused', failure: head.error };
    await replica.caughtUp(head.value.version);
    const before = replica.current();
    if (before.version !== head.value.version) {
      return { kind: 'again', reason: 'configuration-behind' };
    }
    const id = createAttemptId(random);
    const changes = planChanges(request, bases, head.value, id);
    const warnings: Finding[] = [];
    if (changes.length === 0) return accept(head.value.version, changes, warnings);
    const findings = checkChange(before, applyChanges(before, changes), request.objects);
    const refusal = describeFindings(findings, request.force, node);
    if (refusal !== undefined) return { kind: 'refused', failure: refusal };
    warnings.push(...findings.forceable, ...findings.warnings);
    return send({ id, head: head.value, changes, bases, warnings });
  }

  async function send(attempt: Attempt): Promise<AttemptOutcome> {
    const outcome = await table.transact(createTransaction(attempt));
    return match(outcome)
      .with({ kind: 'committed' }, () => acceptAttempt(attempt))
      .with({ kind: 'unavailable' }, ({ failure }) => refuse(failure))
      .with({ kind: 'conflict' }, ({ conflicts }) => explainConflict(attempt, conflicts))
      .with({ kind: 'unknown' }, () => settle(attempt))
      .exhaustive();
  }

  async function settle(attempt: Attempt): Promise<AttemptOutcome> {
    for (let read = 0; read < MAX_READ_BACKS; read += 1) {
      const settlement = await readBack(attempt);
      if (settlement === 'written') return acceptAttempt(attempt);
      if (settlement === 'not-written') {
        return { kind: 'again', reason: 'configuration-write-lost' };
      }
      await wait(clock, RETRY_PAUSE_MS * (1 + random.next()) * (read + 1));
    }
    return refuse(describeDoubt(attempt));
  }

  /** The head is read before the log entry: the entry of a head seen earlier cannot be missing. */
  async function readBack({ id, head, changes }: Attempt): Promise<Settlement> {
    const now = await readHead(table);
    if (now.isErr()) return 'undecided';
    const wanted = head.version + 1;
    const entry = await readLogEntry(table, wanted);
    if (entry.isErr()) return 'undecided';
    if (entry.value !== undefined) return entry.value.attempt === id ? 'written' : 'not-written';
    if (now.value.version >= wanted) return 'undecided';
    if (now.value.revision !== head.revision) return 'not-written';
    const fenced = await fence(head);
    if (fenced) log.write('configurationFenced', { version: wanted, changes: changes.length });
    return fenced ? 'not-written' : 'undecided';
  }

  /** Gives the head a new revision, so that a write that is still on its way cannot land. */
  async function fence(head: Head): Promise<boolean> {
    const outcome = await table.transact({
      conditions: [{ key: HEAD_KEY, revision: head.revision }],
      puts: [{ key: HEAD_KEY, value: { version: head.version } }],
      deletes: [],
    });
    return outcome.kind === 'committed';
  }

  function acceptAttempt({ head, changes, warnings }: Attempt): AttemptOutcome {
    replica.receive(changes);
    const version = head.version + changes.length;
    log.write('configurationAccepted', { version, author: changes[0]?.author });
    return accept(version, changes, warnings);
  }

  async function explainConflict(attempt: Attempt, conflicts: string[]): Promise<AttemptOutcome> {
    for (const base of attempt.bases) {
      const key = resolveObjectKey(base.reference);
      if (!conflicts.includes(key)) continue;
      const row = await table.get(key);
      if (row.isErr()) return refuse(row.error);
      const change = row.value === undefined ? Ok(undefined) : parseChange(row.value);
      if (change.isErr()) return refuse(change.error);
      return refuse(describeConflict(node, base.reference, base.change, change.value));
    }
    return { kind: 'again', reason: 'configuration-head-moved' };
  }

  async function findOutdated(
    request: WriteRequest,
    bases: BaseRow[],
  ): Promise<Failure | undefined> {
    for (const seen of request.expected ?? []) {
      const id = resolveObjectId(seen);
      const base = bases.find(({ reference }) => resolveObjectId(reference) === id);
      if (base === undefined || (base.change?.version ?? 0) === seen.version) continue;
      const entry = seen.version > 0 ? await readLogEntry(table, seen.version) : Ok(undefined);
      const earlier = entry.isOk() ? entry.value : undefined;
      return describeConflict(node, base.reference, earlier, base.change);
    }
    return undefined;
  }

  return { write };
}

function refuse(failure: Failure): AttemptOutcome {
  return { kind: 'refused', failure };
}

function accept(version: number, changes: Change[], warnings: Finding[]): AttemptOutcome {
  const changed = changes.map(({ kind, name }) => ({ kind, name }));
  return { kind: 'accepted', write: { version, changed, warnings } };
}

function createAttemptId(random: RandomSource): string {
  const parts: string[] = [];
  for (let index = 0; index < ATTEMPT_PARTS; index += 1) {
    const part = Math.floor(random.next() * ATTEMPT_PART_RANGE);
    parts.push(part.toString(16).padStart(8, '0'));
  }
  return parts.join('');
}

async function readBases(
  table: TableService,
  request: WriteRequest,
): Promise<Result<BaseRow[], Failure>> {
  const bases: BaseRow[] = [];
  for (const { kind, name } of [...request.objects, ...request.removals]) {
    const reference = { kind, name };
    const row = await table.get(resolveObjectKey(reference));
    if (row.isErr()) return row;
    if (row.value === undefined) {
      bases.push({ reference, revision: 0, change: undefined });
      continue;
    }
    const change = parseChange(row.value);
    if (change.isErr()) return change;
    bases.push({ reference, revision: row.value.revision, change: change.value });
  }
  return Ok(bases);
}

function planChanges(
  request: WriteRequest,
  bases: readonly BaseRow[],
  head: Head,
  attempt: string,
): Change[] {
  const wanted = new Map<string, StoredObject>();
  for (const object of request.objects) wanted.set(resolveObjectId(object), object);
  const changes: Change[] = [];
  for (const { reference, change } of bases) {
    const object = wanted.get(resolveObjectId(reference)) ?? null;
    if (isDeepStrictEqual(object, change?.object ?? null)) continue;
    const version = head.version + changes.length + 1;
    changes.push({ version, ...reference, object, author: request.author, attempt });
  }
  return changes;
}

function createTransaction({ head, changes, bases }: Attempt): Transaction {
  const version = head.version + changes.length;
  const conditions = [{ key: HEAD_KEY, revision: head.revision }];
  for (const { reference, revision } of bases) {
    conditions.push({ key: resolveObjectKey(reference), revision });
  }
  const puts: Transaction['puts'] = [{ key: HEAD_KEY, value: { version } }];
  const deletes: string[] = [];
  for (const change of changes) {
    puts.push({ key: resolveLogKey(change.version), value: change });
    if (change.object === null) deletes.push(resolveObjectKey(change));
    else puts.push({ key: resolveObjectKey(change), value: change });
    const expired = change.version - KEPT_LOG_ENTRIES;
    if (expired > 0) deletes.push(resolveLogKey(expired));
  }
  return { conditions, puts, deletes };
}

function checkRequest(request: WriteRequest, node: string): Failure | undefined {
  const references = [...request.objects, ...request.removals];
  if (references.length > MAX_WRITTEN_OBJECTS) {
    const message = `expected at most ${MAX_WRITTEN_OBJECTS} objects; split the file`;
    return describeInvalid(node, 'objects', message);
  }
  const seen = new Set<string>();
  for (const reference of references) {
    const id = resolveObjectId(reference);
    if (seen.has(id)) return describeInvalid(node, id, 'is named twice in one change');
    seen.add(id);
  }
  return undefined;
}

function describeFindings(findings: Findings, force: boolean, node: string): Failure | undefined {
  const [error] = findings.errors;
  if (error !== undefined) return describeInvalid(node, error.field, error.message);
  const [stranded] = findings.forceable;
  if (stranded === undefined || force) return undefined;
  const others = findings.forceable.length - 1;
  const suffix = others > 0 ? `, and ${others} more teams` : '';
  const message = `${stranded.field} ${stranded.message}${suffix}; use force to accept it`;
  return describeInvalid(node, stranded.field, message);
}

function describeInvalid(node: string, field: string, message: string): Failure {
  return createRefusal({
    code: 'invalid-configuration',
    message,
    field,
    step: 'configuration.transact',
    peer: node,
  });
}

function describeConflict(
  node: string,
  reference: ObjectReference,
  before: Change | undefined,
  after: Change | undefined,
): Failure {
  const id = resolveObjectId(reference);
  const difference = describeDifference(before?.object, after?.object ?? null);
  const author = after === undefined ? '' : ` by ${after.author} in version ${after.version}`;
  return createRefusal({
    code: 'conflict',
    message: `${id} was changed meanwhile${author}: ${difference}; look at it and apply again`,
    field: id,
    step: 'configuration.transact',
    peer: node,
  });
}

function describeCrowding(node: string): Failure {
  return createRefusal({
    code: 'conflict',
    message: 'other changes went first each time; apply again',
    step: 'configuration.transact',
    peer: node,
    retryAfterMs: 1_000,
  });
}

function describeDoubt({ changes }: Attempt): Failure {
  const version = changes[0]?.version ?? 0;
  return createUnknownOutcome({
    code: 'table-unknown',
    message: `the table did not say what became of version ${version}; read the objects again`,
    step: 'configuration.read-back',
    peer: 'table-service',
    retryAfterMs: 1_000,
  });
}
