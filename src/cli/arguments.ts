/**
 * Options that several commands share, and arguments that are read alike.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import { storedKindSchema } from '../operator/status.js';
import type { StoredKind } from '../configuration/index.js';
import { createUsageProblem, type Problem } from './problem.js';

/** Options of every command. */
export const outputArguments = {
  json: { type: 'boolean', description: 'Print JSON, for scripts' },
} as const;

/** Options of every command that speaks to a node. */
export const connectionArguments = {
  ...outputArguments,
  operator: {
    type: 'string',
    valueHint: 'url',
    description: "A node's operator address; else REEDTALLY_OPERATOR, else http://127.0.0.1:7002",
  },
  'token-file': {
    type: 'string',
    valueHint: 'file',
    description: 'File with the operator token; else REEDTALLY_OPERATOR_TOKEN',
  },
} as const;

/** Options of every command that changes the configuration. */
export const changeArguments = {
  ...connectionArguments,
  'wait-ms': {
    type: 'string',
    valueHint: 'ms',
    default: '15000',
    description: 'How long to wait until the change is in force on every node; 0 not to wait',
  },
} as const;

/**
 * Reads the kind of an object; the plural is taken too.
 *
 * @param text as it was typed
 */
export function parseKind(text: string): Result<StoredKind, Problem> {
  const singular = text.replace(/s$/, '');
  for (const candidate of [text, singular, text.replace(/es$/, '')]) {
    const kind = storedKindSchema.safeParse(candidate);
    if (kind.success) return Ok(kind.data);
  }
  const kinds = storedKindSchema.options.join(', ');
  return Err(createUsageProblem(`KIND: expected one of ${kinds}; "${text}" is none`));
}

/**
 * Reads a duration.
 *
 * @param name the option's name
 * @param text as it was typed
 */
export function parseMs(name: string, text: string): Result<number, Problem> {
  if (/^\d{1,9}$/.test(text)) return Ok(Number(text));
  return Err(createUsageProblem(`--${name}: expected whole milliseconds; "${text}" are none`));
}
