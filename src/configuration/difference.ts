/**
 * Tells in words what differs between two versions of an object, for an operator whose change came
 * second.
 */
import { isDeepStrictEqual } from 'node:util';
import type { StoredObject } from './objects.js';

const MAX_LISTED = 8;

/**
 * Lists the fields that differ, as `labels.size: "small" became "large"`. Key hashes are named but
 * not shown.
 *
 * @param before the object as it was; `undefined` or `null` when it did not exist
 * @param after the object as it is; `null` when it was removed
 */
export function describeDifference(
  before: StoredObject | null | undefined,
  after: StoredObject | null,
): string {
  if (after === null) return 'it was removed';
  if (before === null || before === undefined) return 'it was created';
  const differences: string[] = [];
  collect('', before, after, differences);
  if (differences.length === 0) return 'nothing differs';
  const listed = differences.slice(0, MAX_LISTED).join(', ');
  const rest = differences.length - MAX_LISTED;
  return rest > 0 ? `${listed} and ${rest} more` : listed;
}

function collect(path: string, before: unknown, after: unknown, found: string[]): void {
  if (isDeepStrictEqual(before, after)) return;
  if (!isFields(before) || !isFields(after)) {
    found.push(path === 'keyHashes' ? path : `${path}: ${show(before)} became ${show(after)}`);
    return;
  }
  for (const key of new Set([...Object.keys(before), ...Object.keys(after)])) {
    collect(path === '' ? key : `${path}.${key}`, before[key], after[key], found);
  }
}

function isFields(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function show(value: unknown): string {
  return value === undefined ? 'nothing' : JSON.stringify(value);
}
