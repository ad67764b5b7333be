/**
 * What can go wrong in a command, with its exit code.
 */
import type { Failure } from '../errors/index.js';
import type { ValidationIssue } from '../settings/index.js';
import { exitCodes, type ExitCode } from './exit-code.js';

/** Why a command did not do what it was asked to. */
export interface Problem {
  code: ExitCode;
  /** One line each, for a person. */
  lines: string[];
  /** The node's own words, where it refused. */
  failure?: Failure;
}

/**
 * Builds the problem of a wrong command.
 *
 * @param message what was expected
 */
export function createUsageProblem(message: string): Problem {
  return { code: exitCodes.wrongUsage, lines: [message] };
}

/**
 * Builds the problem of wrong files.
 *
 * @param issues what is wrong in them
 */
export function createFileProblem(issues: readonly ValidationIssue[]): Problem {
  const lines: string[] = [];
  for (const { file, field, message } of issues) {
    lines.push(field === '' ? `${file}: ${message}` : `${file}: ${field}: ${message}`);
  }
  return { code: exitCodes.wrongUsage, lines };
}

/**
 * Builds the problem of a node's refusal.
 *
 * @param failure what the node answered
 */
export function createRefusalProblem(failure: Failure): Problem {
  const ran = failure.outcome === 'not-run' ? 'nothing was changed' : 'it may have been done';
  const line = `${failure.code}: ${failure.message} (${ran}; ${failure.step} at ${failure.peer})`;
  return { code: exitCodes.refused, lines: [line], failure };
}

/**
 * Builds the problem of a node that could not be reached.
 *
 * @param operator the address that was tried
 * @param reason what the connection said
 */
export function createUnreachableProblem(operator: string, reason: string): Problem {
  const line = `${operator} could not be reached (${reason}); try another node's operator address`;
  return { code: exitCodes.unreachable, lines: [line] };
}
