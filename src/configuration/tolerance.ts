/**
 * Reads what a newer version of the program stored or sent. Its additional fields are kept and
 * passed on as they are, so that an older node neither stumbles over them nor loses them for the
 * newer ones; everything that this version knows is checked as strictly as ever.
 */
import * as z from 'zod';

/** A field that the schema does not know. */
interface UnknownField {
  /** Where the object that has it is. */
  path: readonly PropertyKey[];
  key: string;
  value: unknown;
}

/**
 * Makes a schema of strict objects take unknown keys and keep them.
 *
 * @param schema the strict schema, for what operators write
 */
export function tolerate<Schema extends z.ZodType>(schema: Schema) {
  return z.unknown().transform((value, context): z.output<Schema> => {
    const known = structuredClone(value);
    const unknownFields = takeUnknownFields(schema, known);
    const parsed = schema.safeParse(known);
    if (!parsed.success) {
      for (const { path, message } of parsed.error.issues) {
        context.addIssue({ code: 'custom', path: [...path], message });
      }
      return z.NEVER;
    }
    for (const { path, key, value: kept } of unknownFields) {
      const owner = findOwner(parsed.data, path);
      if (owner !== undefined) owner[key] = kept;
    }
    return parsed.data;
  });
}

/** Removes the fields that a schema does not know, and tells which they were. */
function takeUnknownFields(schema: z.ZodType, value: unknown): UnknownField[] {
  const taken: UnknownField[] = [];
  for (const issue of schema.safeParse(value).error?.issues ?? []) {
    if (issue.code !== 'unrecognized_keys') continue;
    const owner = findOwner(value, issue.path);
    if (owner === undefined) continue;
    for (const key of issue.keys) {
      if (key !== '__proto__') taken.push({ path: issue.path, key, value: owner[key] });
      Reflect.deleteProperty(owner, key);
    }
  }
  return taken;
}

function findOwner(
  root: unknown,
  path: readonly PropertyKey[],
): Record<string, unknown> | undefined {
  let found = root;
  for (const step of path) {
    if (typeof found !== 'object' || found === null) return undefined;
    found = (found as Record<PropertyKey, unknown>)[step];
  }
  if (typeof found !== 'object' || found === null) return undefined;
  return found as Record<string, unknown>;
}
