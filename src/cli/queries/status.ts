/**
 * `reedtally status`: a node and what it knows of the others.
 */
import { Err, Ok } from 'ts-results-es';
import { nodeStatusSchema, type NodeStatus } from '../../operator/status.js';
import { connectionArguments } from '../arguments.js';
import { createClient } from '../client.js';
import { createCommand } from '../command.js';
import { exitCodes } from '../exit-code.js';
import { formatTable } from '../table.js';
import type { Terminal } from '../terminal.js';

/** `reedtally status`. */
export const statusCommand = createCommand({
  name: 'status',
  description: 'Print the state of a node, of the nodes it knows and of the shards',
  examples: ['reedtally status', 'reedtally status --operator http://10.0.1.4:7002 --json'],
  args: connectionArguments,
  async run(args, terminal) {
    const client = createClient(args, terminal);
    if (client.isErr()) return client;
    const status = await client.value.get('/v1/status', nodeStatusSchema);
    if (status.isErr()) return Err(status.error);
    if (args.json === true) terminal.print(JSON.stringify(status.value));
    else printStatus(terminal, status.value);
    return Ok(exitCodes.ok);
  },
});

function printStatus(terminal: Terminal, status: NodeStatus): void {
  const { node, nodes, shards, lease, configurationVersion, ready, leaving } = status;
  const validity = lease.held ? `held, valid for ${Math.round(lease.validForMs)} ms` : 'not held';
  const work = ready ? 'takes new work' : 'takes no new work';
  terminal.print(`${node.node} (${node.zone}): ${work}${leaving ? ', leaving' : ''}`);
  terminal.print(`lease ${validity}; configuration version ${configurationVersion}`);
  const nodeRows = nodes.map((other) => [
    other.node,
    other.zone,
    other.caller,
    String(other.configurationVersion),
    String(other.inFlight),
    other.leaving ? 'leaving' : 'live',
  ]);
  const nodeHeading = ['NODE', 'ZONE', 'CALLER', 'CONFIGURATION', 'IN FLIGHT', 'STATE'];
  terminal.print(formatTable([nodeHeading, ...nodeRows]));
  const shardRows = shards.map((shard) => [
    shard.shard,
    shard.holder,
    String(shard.fence),
    String(shard.waiting),
    shard.servers.map(({ id, free }) => `${id}:${free}`).join(' '),
  ]);
  const shardHeading = ['SHARD', 'HOLDER', 'FENCE', 'WAITING', 'FREE PLACES'];
  terminal.print(formatTable([shardHeading, ...shardRows]));
}
