/**
 * The frame of every command: checked options, help with examples, and an exit code.
 */
import { defineCommand, renderUsage, runCommand, type ArgsDef, type ParsedArgs } from 'citty';
import { Err, Ok, type Result } from 'ts-results-es';
import { exitCodes, type ExitCode } from './exit-code.js';
import { createUsageProblem, type Problem } from './problem.js';
import type { Terminal } from './terminal.js';

/** What a command is made of. */
export interface CommandParts<Arguments extends ArgsDef> {
  name: string;
  description: string;
  /** Command lines for the help, with what each does. */
  examples: string[];
  args: Arguments;
  run(args: ParsedArgs<Arguments>, terminal: Terminal): Promise<Result<ExitCode, Problem>>;
}

/** One command of the command line. */
export interface Command {
  name: string;
  description: string;
  examples: string[];
  /** Usage, arguments and options for the help. */
  renderUsage(): Promise<string>;
  /** Checks the arguments and runs the command. */
  run(rawArguments: string[], terminal: Terminal): Promise<Result<ExitCode, Problem>>;
}

/**
 * Creates a command.
 *
 * @param parts what it is made of
 */
export function createCommand<const Arguments extends ArgsDef>(
  parts: CommandParts<Arguments>,
): Command {
  const { name, description, examples, args } = parts;
  const meta = { name: `reedtally ${name}`, description };
  const options = resolveOptionNames(args);

  async function run(
    rawArguments: string[],
    terminal: Terminal,
  ): Promise<Result<ExitCode, Problem>> {
    const unknown = findUnknownOption(name, options, rawArguments);
    if (unknown !== undefined) return Err(unknown);
    let outcome: Result<ExitCode, Problem> = Ok(exitCodes.ok);
    const definition = defineCommand({
      meta,
      args,
      async run(context) {
        outcome = await parts.run(context.args, terminal);
      },
    });
    try {
      await runCommand(definition, { rawArgs: rawArguments });
      return outcome;
    } catch (error) {
      return Err(describeParserError(name, error));
    }
  }

  return {
    name,
    description,
    examples,
    renderUsage: () => renderUsage(defineCommand({ meta, args })),
    run,
  };
}

/** The parser throws on missing or wrong arguments; anything else that is thrown goes on. */
function describeParserError(name: string, error: unknown): Problem {
  if (!(error instanceof Error) || error.name !== 'CLIError') throw error;
  return createUsageProblem(`${error.message}; see "reedtally ${name} --help"`);
}

/** Finds an option that the command does not have; the parser lets unknown ones pass. */
function findUnknownOption(
  name: string,
  options: ReadonlySet<string>,
  rawArguments: readonly string[],
): Problem | undefined {
  for (const argument of rawArguments) {
    if (argument === '--') return undefined;
    const option = /^--?([a-zA-Z][\w-]*)/.exec(argument)?.[1];
    if (option === undefined || options.has(option)) continue;
    const message = `${argument}: no such option; see "reedtally ${name} --help"`;
    return createUsageProblem(message);
  }
  return undefined;
}

function resolveOptionNames(args: ArgsDef): Set<string> {
  const names = new Set<string>();
  for (const [name, definition] of Object.entries(args)) {
    if (definition.type === 'positional') continue;
    names.add(name);
    const alias = 'alias' in definition ? definition.alias : undefined;
    for (const other of [alias ?? []].flat()) names.add(other);
  }
  return names;
}
