/**
 * The rows in which the configuration is kept:
 * - `configuration/head`: the newest version;
 * - `configuration/log/<version>`: the change of that version, zero-padded so that keys sort;
 * - `configuration/objects/<kind>/<name>`: the last change of each object that exists.
 *
 * All three are written in one transaction. Log rows older than `KEPT_LOG_ENTRIES` are deleted by
 * the transaction that adds a new one; a reader that needs them reads the object rows instead.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import * as z from 'zod';
import { createRefusal, type Failure } from '../errors/index.js';
import type { Row, TableService } from '../ports/index.js';
import { changeSchema, type Change } from './objects.js';
import { resolveObjectId, type ObjectReference } from './snapshot.js';

/** How many entries the log keeps in the table. */
export const KEPT_LOG_ENTRIES = 10_000;

export const HEAD_KEY = 'configuration/head';
export const LOG_PREFIX = 'configuration/log/';
export const OBJECT_PREFIX = 'configuration/objects/';

const VERSION_DIGITS = 12;
const PAGE_ROWS = 500;
const MAX_STATE_READS = 5;

export const headValueSchema = z.object({ version: z.number().int().nonnegative() });

/** The head row, or its absence. */
export interface Head {
  /** The newest version; 0 when the row is absent. */
  version: number;
  /** The row's revision; 0 when it is absent. */
  revision: number;
}

/** The whole configuration as the table has it. */
export interface TableState {
  version: number;
  /** The last change of each object. */
  changes: Change[];
}

/**
 * The key of a log entry.
 *
 * @param version the change's number
 */
export function resolveLogKey(version: number): string {
  return LOG_PREFIX + String(version).padStart(VERSION_DIGITS, '0');
}

/**
 * The key of an object's row.
 *
 * @param reference the object's kind and name
 */
export function resolveObjectKey(reference: ObjectReference): string {
  return OBJECT_PREFIX + resolveObjectId(reference);
}

/**
 * Reads the head: one read.
 *
 * @param table the table service
 */
export async function readHead(table: TableService): Promise<Result<Head, Failure>> {
  const row = await table.get(HEAD_KEY);
  if (row.isErr()) return row;
  if (row.value === undefined) return Ok({ version: 0, revision: 0 });
  const value = headValueSchema.safeParse(row.value.value);
  if (!value.success) return Err(describeUnreadable(HEAD_KEY));
  return Ok({ version: value.data.version, revision: row.value.revision });
}

/**
 * Reads one log entry.
 *
 * @param table the table service
 * @param version the change's number
 */
export async function readLogEntry(
  table: TableService,
  version: number,
): Promise<Result<Change | undefined, Failure>> {
  const row = await table.get(resolveLogKey(version));
  if (row.isErr()) return row;
  if (row.value === undefined) return Ok(undefined);
  return parseChange(row.value);
}

/**
 * Reads the log after a version.
 *
 * @param table the table service
 * @param after the version to begin after
 * @returns entries in order; the first is not `after + 1` where that one is no longer kept
 */
export async function readLog(
  table: TableService,
  after: number,
): Promise<Result<Change[], Failure>> {
  return readChanges(table, LOG_PREFIX, resolveLogKey(after));
}

/**
 * Reads the whole configuration. Pages of objects are read one after another while changes may
 * come in between; the log entries of that time are read last and put on top, so that the result
 * is exactly the configuration of one version.
 *
 * @param table the table service
 */
export async function readState(table: TableService): Promise<Result<TableState, Failure>> {
  for (let read = 0; read < MAX_STATE_READS; read += 1) {
    const before = await readHead(table);
    if (before.isErr()) return before;
    const objects = await readChanges(table, OBJECT_PREFIX);
    if (objects.isErr()) return objects;
    const after = await readHead(table);
    if (after.isErr()) return after;
    const log = await readLogBetween(table, before.value.version, after.value.version);
    if (log.isErr()) return log;
    if (log.value === undefined) continue;
    return Ok({ version: after.value.version, changes: overlay(objects.value, log.value) });
  }
  return Err(describeUnreadable(LOG_PREFIX));
}

/** The entries of (after, until]; `undefined` where one is no longer kept. */
async function readLogBetween(
  table: TableService,
  after: number,
  until: number,
): Promise<Result<Change[] | undefined, Failure>> {
  if (after === until) return Ok([]);
  const log = await readLog(table, after);
  if (log.isErr()) return log;
  const wanted = log.value.filter((change) => change.version <= until);
  return Ok(wanted.length === until - after ? wanted : undefined);
}

function overlay(objects: readonly Change[], log: readonly Change[]): Change[] {
  const latest = new Map<string, Change>();
  for (const change of objects) latest.set(resolveObjectId(change), change);
  for (const change of log) latest.set(resolveObjectId(change), change);
  return [...latest.values()].filter((change) => change.object !== null);
}

async function readChanges(
  table: TableService,
  prefix: string,
  start?: string,
): Promise<Result<Change[], Failure>> {
  const changes: Change[] = [];
  let after = start;
  for (;;) {
    const page = await table.range({
      prefix,
      limit: PAGE_ROWS,
      ...(after === undefined ? {} : { after }),
    });
    if (page.isErr()) return page;
    for (const row of page.value) {
      const change = parseChange(row);
      if (change.isErr()) return change;
      changes.push(change.value);
    }
    after = page.value.at(-1)?.key;
    if (page.value.length < PAGE_ROWS) return Ok(changes);
  }
}

/**
 * Reads a change out of a row.
 *
 * @param row a log or object row
 */
export function parseChange(row: Row): Result<Change, Failure> {
  const change = changeSchema.safeParse(row.value);
  return change.success ? Ok(change.data) : Err(describeUnreadable(row.key));
}

function describeUnreadable(key: string): Failure {
  return createRefusal({
    code: 'invalid-configuration',
    message: `the row ${key} cannot be read; it was written by a newer version or by hand`,
    step: 'configuration.follow',
    peer: 'table-service',
  });
}
