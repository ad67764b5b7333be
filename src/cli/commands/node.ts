/**
 * `reedtally node`: runs a node.
 */
import { Ok } from 'ts-results-es';
import { createSignals } from '../../process/signals.js';
import { createCommand } from '../command.js';
import type { ExitCode } from '../exit-code.js';

/** `reedtally node`. */
export const nodeCommand = createCommand({
  name: 'node',
  description: 'Run a node until it gets SIGTERM or SIGINT',
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
    // before the rest is loaded, which takes some tenths of a second
    const signals = createSignals();
    const { runNode } = await import('../../node/main.js');
    return Ok((await runNode(args.settings, signals)) as ExitCode);
  },
});
