/**
 * Configuration files: JSON documents of the form `{ "objects": [ … ] }`.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import * as z from 'zod';
import { checkObject, storedObjectSchema, type StoredObject } from '../configuration/index.js';
import { describeIssues, readJson, type ValidationIssue } from '../settings/index.js';

const configurationFileSchema = z.strictObject({ objects: z.array(storedObjectSchema) });

/**
 * Reads and checks a configuration file.
 *
 * @param file path of the file
 * @returns its objects, or every mistake with the path of the wrong field
 */
export function loadConfigurationFile(file: string): Result<StoredObject[], ValidationIssue[]> {
  const document = readJson(file);
  if (document.isErr()) return Err([document.error]);
  const parsed = configurationFileSchema.safeParse(document.value);
  if (!parsed.success) return Err(describeIssues(file, parsed.error));
  const issues: ValidationIssue[] = [];
  for (const object of parsed.data.objects) {
    for (const { field, message } of checkObject(object)) issues.push({ file, field, message });
  }
  return issues.length > 0 ? Err(issues) : Ok(parsed.data.objects);
}

/**
 * Tells a configuration file from a settings file.
 *
 * @param file path of the file
 */
export function isConfigurationFile(file: string): boolean {
  const document = readJson(file);
  if (document.isErr()) return false;
  return (
    typeof document.value === 'object' && document.value !== null && 'objects' in document.value
  );
}
