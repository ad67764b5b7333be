/**
 * `reedtally node`: runs a node.
 */
import { Ok } from 'ts-results-es';
import { createCommand } from '../command.js';
import type { ExitCode } from '../exit-code.js';

/** `reedtally node`. */
export const nodeCommand = createCommand({
  name: 'node',
  description: 'Run a node until it gets SIGTERM',
  examples: ['reedtally node --settings node.json'],
  args: {
    settings: {
      type: 'string',
      required: true,
      valueHint: 'file',
      description: 'Settings file; "reedtally check" checks it',
    },
  },
  async run(args) {
    const { runNode } = await import('../../node/main.js');
    return Ok((await runNode(args.settings)) as ExitCode);
  },
});
