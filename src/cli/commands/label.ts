/**
 * `reedtally label`: sets and removes labels of one object or VM.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import { acceptedSchema } from '../../operator/status.js';
import { changeArguments, parseKind, parseMs } from '../arguments.js';
import { createClient } from '../client.js';
import { createCommand } from '../command.js';
import { followChange } from '../follow-change.js';
import { createUsageProblem, type Problem } from '../problem.js';

interface LabelEdit {
  set: Record<string, string>;
  remove: string[];
}

/** `reedtally label`. */
export const labelCommand = createCommand({
  name: 'label',
  description: 'Set and remove labels of an object or a VM, and wait until it is in force',
  examples: [
    'reedtally label team kumasi size=small           # set',
    'reedtally label vm engine-3 pool=night zone-      # set one, remove another',
  ],
  args: {
    ...changeArguments,
    kind: { type: 'positional', required: true, description: 'team, class, group, binding or vm' },
    name: {
      type: 'positional',
      required: true,
      description: 'Name of the object, or id of the VM',
    },
    edits: {
      type: 'positional',
      required: true,
      description: 'KEY=VALUE to set, KEY- to remove; one or more',
    },
    force: {
      type: 'boolean',
      description: 'Accept a change that leaves a team with nowhere to go',
    },
  },
  async run(args, terminal) {
    const kind = parseKind(args.kind);
    if (kind.isErr()) return kind;
    const edit = parseEdits(args._.slice(2));
    if (edit.isErr()) return edit;
    const waitMs = parseMs('wait-ms', args['wait-ms']);
    if (waitMs.isErr()) return waitMs;
    const client = createClient(args, terminal);
    if (client.isErr()) return client;
    const path = `/v1/labels/${kind.value}/${encodeURIComponent(args.name)}`;
    const body = { ...edit.value, force: args.force === true };
    const accepted = await client.value.post(path, body, acceptedSchema);
    if (accepted.isErr()) return accepted;
    const terms = { json: args.json === true, waitMs: waitMs.value };
    return Ok(await followChange(client.value, terminal, accepted.value, terms));
  },
});

function parseEdits(texts: readonly string[]): Result<LabelEdit, Problem> {
  const edit: LabelEdit = { set: {}, remove: [] };
  for (const text of texts) {
    const equals = text.indexOf('=');
    if (equals > 0) edit.set[text.slice(0, equals)] = text.slice(equals + 1);
    else if (equals < 0 && text.endsWith('-') && text.length > 1)
      edit.remove.push(text.slice(0, -1));
    else return Err(createUsageProblem(`expected KEY=VALUE or KEY-; "${text}" is neither`));
  }
  return Ok(edit);
}
