/**
 * `reedtally check`: checks settings and configuration files without a node.
 */
import { Err, Ok } from 'ts-results-es';
import { loadSettings, type ValidationIssue } from '../../settings/index.js';
import { outputArguments } from '../arguments.js';
import { createCommand } from '../command.js';
import { isConfigurationFile, loadConfigurationFile } from '../configuration-file.js';
import { exitCodes } from '../exit-code.js';
import { createFileProblem } from '../problem.js';

/** `reedtally check`. */
export const checkCommand = createCommand({
  name: 'check',
  description: 'Check settings and configuration files; each mistake with its field',
  examples: ['reedtally check node.json configuration.json'],
  args: {
    ...outputArguments,
    files: { type: 'positional', required: true, description: 'One or more files' },
  },
  run(args, terminal) {
    const issues: ValidationIssue[] = [];
    for (const file of args._) issues.push(...checkFile(file));
    if (args.json === true) terminal.print(JSON.stringify({ mistakes: issues }));
    if (issues.length > 0) return Promise.resolve(Err(createFileProblem(issues)));
    if (args.json !== true) for (const file of args._) terminal.print(`${file}: ok`);
    return Promise.resolve(Ok(exitCodes.ok));
  },
});

function checkFile(file: string): ValidationIssue[] {
  const result = isConfigurationFile(file) ? loadConfigurationFile(file) : loadSettings(file);
  return result.isErr() ? result.error : [];
}
