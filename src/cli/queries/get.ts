/**
 * `reedtally get`: prints objects as a node has them.
 */
import { Err, Ok } from 'ts-results-es';
import {
  listedObjectSchema,
  listedObjectsSchema,
  type ListedObject,
} from '../../operator/status.js';
import { connectionArguments, parseKind } from '../arguments.js';
import { createClient } from '../client.js';
import { createCommand } from '../command.js';
import { exitCodes } from '../exit-code.js';
import { formatTable } from '../table.js';

/** `reedtally get`. */
export const getCommand = createCommand({
  name: 'get',
  description: 'Print the objects of a kind, or one object',
  examples: ['reedtally get teams', 'reedtally get binding chamber-logs --json'],
  args: {
    ...connectionArguments,
    kind: { type: 'positional', required: true, description: 'team, class, group, binding or vm' },
    name: { type: 'positional', required: false, description: 'Name of one object' },
  },
  async run(args, terminal) {
    const kind = parseKind(args.kind);
    if (kind.isErr()) return kind;
    const client = createClient(args, terminal);
    if (client.isErr()) return client;
    const path = `/v1/objects/${kind.value}`;
    if (args.name !== undefined) {
      const one = `${path}/${encodeURIComponent(args.name)}`;
      const found = await client.value.get(one, listedObjectSchema);
      if (found.isErr()) return Err(found.error);
      terminal.print(JSON.stringify(found.value, undefined, args.json === true ? undefined : 2));
      return Ok(exitCodes.ok);
    }
    const listed = await client.value.get(path, listedObjectsSchema);
    if (listed.isErr()) return Err(listed.error);
    if (args.json === true) terminal.print(JSON.stringify(listed.value));
    else terminal.print(formatObjects(listed.value.objects));
    return Ok(exitCodes.ok);
  },
});

function formatObjects(objects: readonly ListedObject[]): string {
  const rows = objects.map(({ object, version, author }) => {
    return [object.name, String(version), author, formatLabels(object.labels)];
  });
  return formatTable([['NAME', 'VERSION', 'AUTHOR', 'LABELS'], ...rows]);
}

function formatLabels(labels: Record<string, string>): string {
  const pairs: string[] = [];
  for (const [key, value] of Object.entries(labels)) pairs.push(`${key}=${value}`);
  return pairs.join(',');
}
