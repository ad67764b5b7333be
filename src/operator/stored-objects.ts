/**
 * Finds stored objects in a configuration.
 */
import {
  resolveObjectId,
  type ConfigurationSnapshot,
  type ObjectReference,
  type StoredKind,
} from '../configuration/index.js';
import type { ListedObject } from './status.js';

/**
 * Finds one object with its version.
 *
 * @param snapshot the configuration
 * @param reference its kind and name
 */
export function findObject(
  snapshot: ConfigurationSnapshot,
  reference: ObjectReference,
): ListedObject | undefined {
  const change = snapshot.changes.get(resolveObjectId(reference));
  if (change === undefined || change.object === null) return undefined;
  return { version: change.version, author: change.author, object: change.object };
}

/**
 * Lists the objects of a kind in the order of their names.
 *
 * @param snapshot the configuration
 * @param kind the kind
 */
export function listObjects(snapshot: ConfigurationSnapshot, kind: StoredKind): ListedObject[] {
  const listed: ListedObject[] = [];
  for (const { kind: found, object, version, author } of snapshot.changes.values()) {
    if (found === kind && object !== null) listed.push({ version, author, object });
  }
  return listed.sort((left, right) => (left.object.name < right.object.name ? -1 : 1));
}
