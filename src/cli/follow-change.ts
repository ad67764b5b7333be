/**
 * Reports a change as accepted, and then as in force on n of m nodes.
 */
import type { Result } from 'ts-results-es';
import { inForceSchema, type Accepted, type InForce } from '../operator/status.js';
import type { Client } from './client.js';
import { exitCodes, type ExitCode } from './exit-code.js';
import type { Problem } from './problem.js';
import { pause, type Terminal } from './terminal.js';

const LOOK_EVERY_MS = 100;

/** How a change is to be reported. */
export interface FollowTerms {
  json: boolean;
  /** How long to wait until it is in force everywhere; 0 not to wait. */
  waitMs: number;
}

/**
 * Reports an accepted change and waits until every node has it in force.
 *
 * @param client speaks to the node that accepted it
 * @param terminal the command's surroundings
 * @param accepted what the node answered
 * @param terms how to report it
 */
export async function followChange(
  client: Client,
  terminal: Terminal,
  accepted: Accepted,
  terms: FollowTerms,
): Promise<ExitCode> {
  if (!terms.json) printAccepted(terminal, accepted);
  if (terms.waitMs === 0) {
    if (terms.json) terminal.print(JSON.stringify({ accepted }));
    return exitCodes.ok;
  }
  const inForce = await waitUntilInForce(client, terminal, accepted.version, terms.waitMs);
  if (inForce.isErr()) return reportBlind(terminal, accepted, inForce.error, terms);
  if (terms.json) terminal.print(JSON.stringify({ accepted, inForce: inForce.value }));
  else printInForce(terminal, inForce.value);
  return inForce.value.behind.length === 0 ? exitCodes.ok : exitCodes.notYetInForce;
}

function printAccepted(terminal: Terminal, { version, changed, warnings }: Accepted): void {
  for (const { field, message } of warnings) terminal.complain(`warning: ${field}: ${message}`);
  if (changed.length === 0) {
    terminal.print(`nothing to change; version ${version} has it already`);
    return;
  }
  const objects = changed.length === 1 ? '1 object' : `${changed.length} objects`;
  terminal.print(`accepted as version ${version} (${objects} changed)`);
}

function printInForce(terminal: Terminal, { inForce, nodes, behind }: InForce): void {
  terminal.print(`in force on ${inForce} of ${nodes} nodes`);
  if (behind.length > 0) terminal.complain(`not yet on ${behind.join(', ')}`);
}

/** The change stands, although the node can no longer be asked about it. */
function reportBlind(
  terminal: Terminal,
  accepted: Accepted,
  problem: Problem,
  terms: FollowTerms,
): ExitCode {
  if (terms.json) terminal.print(JSON.stringify({ accepted, problem: problem.lines }));
  for (const line of problem.lines) terminal.complain(line);
  return exitCodes.notYetInForce;
}

async function waitUntilInForce(
  client: Client,
  terminal: Terminal,
  version: number,
  waitMs: number,
): Promise<Result<InForce, Problem>> {
  const end = terminal.clock.now() + waitMs;
  for (;;) {
    const inForce = await client.get(`/v1/in-force/${version}`, inForceSchema);
    if (inForce.isErr() || inForce.value.behind.length === 0) return inForce;
    if (terminal.clock.now() >= end) return inForce;
    await pause(terminal, LOOK_EVERY_MS);
  }
}
