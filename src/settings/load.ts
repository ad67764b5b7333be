/**
 * Reads settings and secrets. Every mistake is reported with the path of the wrong field and what
 * was expected there.
 */
import { readFileSync } from 'node:fs';
import { Err, Ok, type Result } from 'ts-results-es';
import type { z } from 'zod';
import { settingsSchema, type CertificateFiles, type Secret, type Settings } from './schema.js';

/** A mistake in a file that a person wrote. */
export interface ValidationIssue {
  /** The file that holds it. */
  file: string;
  /** Path of the field, as `listen.caller`; empty for the file as a whole. */
  field: string;
  /** What was expected and what to do. */
  message: string;
}

/**
 * Reads and checks a node's settings file.
 *
 * @param file path of a JSON file
 */
export function loadSettings(file: string): Result<Settings, ValidationIssue[]> {
  const document = readJson(file);
  if (document.isErr()) return Err([document.error]);
  const parsed = settingsSchema.safeParse(document.value);
  if (!parsed.success) return Err(describeIssues(file, parsed.error));
  return Ok(parsed.data);
}

/**
 * Reads a file of JSON.
 *
 * @param file path of the file
 */
export function readJson(file: string): Result<unknown, ValidationIssue> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch {
    return Err({ file, field: '', message: 'cannot be read; check the path and its permissions' });
  }
  try {
    return Ok(JSON.parse(text) as unknown);
  } catch (error) {
    return Err({ file, field: '', message: `is not JSON: ${String(error)}` });
  }
}

/**
 * Turns a schema's complaints into mistakes, one a field.
 *
 * @param file the file that was checked
 * @param error what the schema found
 */
export function describeIssues(file: string, error: z.ZodError): ValidationIssue[] {
  const mistakes: ValidationIssue[] = [];
  for (const issue of error.issues) {
    mistakes.push({ file, field: issue.path.map(String).join('.'), message: issue.message });
  }
  return mistakes;
}

/** A certificate and its key, in PEM. */
export interface Certificate {
  certificate: string;
  key: string;
  /** The authorities that others' certificates are checked by; the usual ones when absent. */
  authority: string | undefined;
}

/**
 * Reads a certificate.
 *
 * @param name whose it is, as `peer`, for the message
 * @param files where it is
 */
export function loadCertificate(
  name: string,
  files: CertificateFiles,
): Result<Certificate, ValidationIssue> {
  const { authorityFile } = files;
  try {
    return Ok({
      certificate: readFileSync(files.certificateFile, 'utf8'),
      key: readFileSync(files.keyFile, 'utf8'),
      authority: authorityFile === undefined ? undefined : readFileSync(authorityFile, 'utf8'),
    });
  } catch (error) {
    const message = `cannot be read: ${String(error)}; check the paths and their permissions`;
    return Err({ file: files.certificateFile, field: `tls.${name}`, message });
  }
}

/**
 * Reads a secret from where the settings say it is.
 *
 * @param name what the secret is for, for the message
 * @param secret where it comes from
 */
export function loadSecret(name: string, secret: Secret): Result<string, ValidationIssue> {
  if ('environment' in secret) return loadFromEnvironment(name, secret.environment);
  try {
    return checkSecret(name, secret.file, readFileSync(secret.file, 'utf8').trim());
  } catch {
    return Err({
      file: secret.file,
      field: `secrets.${name}`,
      message: 'cannot be read; put the secret into this file, readable by the node alone',
    });
  }
}

function loadFromEnvironment(name: string, variable: string): Result<string, ValidationIssue> {
  const value = process.env[variable] ?? '';
  return checkSecret(name, `environment variable ${variable}`, value);
}

const MIN_SECRET_LENGTH = 16;

function checkSecret(name: string, file: string, value: string): Result<string, ValidationIssue> {
  if (value.length >= MIN_SECRET_LENGTH) return Ok(value);
  return Err({
    file,
    field: `secrets.${name}`,
    message: `expected at least ${MIN_SECRET_LENGTH} characters; make one with "openssl rand -hex 32"`,
  });
}
