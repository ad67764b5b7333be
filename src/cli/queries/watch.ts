/**
 * `reedtally watch`: prints changes and node states as they come.
 */
import { Err } from 'ts-results-es';
import { changeSchema } from '../../configuration/index.js';
import { nodeStateSchema } from '../../links/messages.js';
import { connectionArguments } from '../arguments.js';
import { createClient } from '../client.js';
import { createCommand } from '../command.js';
import { createUnreachableProblem } from '../problem.js';
import { readEvents, type ServerEvent } from '../server-events.js';

/** `reedtally watch`. */
export const watchCommand = createCommand({
  name: 'watch',
  description: 'Print changes of the configuration and of nodes as they come, until stopped',
  examples: ['reedtally watch', 'reedtally watch --json'],
  args: connectionArguments,
  async run(args, terminal) {
    const client = createClient(args, terminal);
    if (client.isErr()) return client;
    const stream = await client.value.stream('/v1/watch');
    if (stream.isErr()) return Err(stream.error);
    try {
      for await (const event of readEvents(stream.value)) {
        terminal.print(args.json === true ? formatJson(event) : formatLine(event));
      }
    } catch (error) {
      return Err(createUnreachableProblem('the node', String(error)));
    }
    return Err(createUnreachableProblem('the node', 'it ended the stream'));
  },
});

function formatJson({ event, data }: ServerEvent): string {
  return JSON.stringify({ event, data });
}

function formatLine({ event, data }: ServerEvent): string {
  const change = changeSchema.safeParse(data);
  if (event === 'change' && change.success) {
    const { version, kind, name, object, author } = change.data;
    const verb = object === null ? 'removed' : 'changed';
    return `version ${version}: ${kind}/${name} ${verb} by ${author}`;
  }
  const node = nodeStateSchema.safeParse(data);
  if (event === 'node' && node.success) {
    const { configurationVersion, leaving } = node.data;
    const state = leaving ? 'leaving' : 'live';
    return `node ${node.data.node}: ${state}, configuration version ${configurationVersion}`;
  }
  return `${event}: ${JSON.stringify(data)}`;
}
