/**
 * Runs one command line and gives its exit code.
 */
import { stripVTControlCharacters } from 'node:util';
import { defineCommand, renderUsage, type CommandDef } from 'citty';
import type { Command } from './command.js';
import { applyCommand } from './commands/apply.js';
import { hashKeyCommand } from './commands/hash-key.js';
import { labelCommand } from './commands/label.js';
import { nodeCommand } from './commands/node.js';
import { drainCommand, ordersSettledCommand, undrainCommand } from './commands/vms.js';
import { exitCodeHelp, exitCodes, type ExitCode } from './exit-code.js';
import type { Problem } from './problem.js';
import { checkCommand } from './queries/check.js';
import { explainCommand } from './queries/explain.js';
import { getCommand } from './queries/get.js';
import { statusCommand } from './queries/status.js';
import { watchCommand } from './queries/watch.js';
import type { Terminal } from './terminal.js';

const commands: readonly Command[] = [
  nodeCommand,
  checkCommand,
  applyCommand,
  getCommand,
  labelCommand,
  drainCommand,
  undrainCommand,
  ordersSettledCommand,
  explainCommand,
  statusCommand,
  watchCommand,
  hashKeyCommand,
];

const HELP_OPTIONS = ['--help', '-h'];

/**
 * Runs a command line.
 *
 * @param rawArguments what was typed after `reedtally`
 * @param terminal where it writes to and what it reads
 */
export async function runCommandLine(
  rawArguments: string[],
  terminal: Terminal,
): Promise<ExitCode> {
  const [name = '', ...rest] = rawArguments;
  const command = commands.find((candidate) => candidate.name === name);
  if (command === undefined) return showOverview(name, terminal);
  if (rest.some((argument) => HELP_OPTIONS.includes(argument))) {
    terminal.print(await renderHelp(command));
    return exitCodes.ok;
  }
  const outcome = await command.run(rest, terminal);
  return outcome.isOk() ? outcome.value : reportProblem(outcome.error, rest, terminal);
}

function reportProblem(problem: Problem, rest: readonly string[], terminal: Terminal): ExitCode {
  if (rest.includes('--json') && problem.failure !== undefined) {
    terminal.print(JSON.stringify({ error: problem.failure }));
  }
  for (const line of problem.lines) terminal.complain(line);
  return problem.code;
}

async function renderHelp(command: Command): Promise<string> {
  const usage = stripVTControlCharacters(await command.renderUsage());
  const examples = command.examples.map((example) => `  ${example}`).join('\n');
  return `${usage}\nEXAMPLES\n\n${examples}\n\n${exitCodeHelp}`;
}

async function showOverview(name: string, terminal: Terminal): Promise<ExitCode> {
  const usage = stripVTControlCharacters(await renderOverview());
  const text = `${usage}\n\n${exitCodeHelp}`;
  if (HELP_OPTIONS.includes(name) || name === 'help') {
    terminal.print(text);
    return exitCodes.ok;
  }
  terminal.complain(text);
  terminal.complain(name === '' ? 'expected a command' : `"${name}" is no command`);
  return exitCodes.wrongUsage;
}

function renderOverview(): Promise<string> {
  const subCommands: Record<string, CommandDef> = {};
  for (const { name, description } of commands) {
    subCommands[name] = defineCommand({ meta: { name, description } });
  }
  const meta = { name: 'reedtally', description: 'Run and operate reedtally' };
  return renderUsage(defineCommand({ meta, subCommands }));
}
