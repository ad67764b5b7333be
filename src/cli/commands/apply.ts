/**
 * `reedtally apply`: creates or replaces the objects of a configuration file.
 */
import { Err, Ok } from 'ts-results-es';
import type { ObjectReference } from '../../configuration/index.js';
import { acceptedSchema } from '../../operator/status.js';
import { changeArguments, parseKind, parseMs } from '../arguments.js';
import { createClient } from '../client.js';
import { createCommand } from '../command.js';
import { loadConfigurationFile } from '../configuration-file.js';
import { followChange } from '../follow-change.js';
import { createFileProblem, createUsageProblem, type Problem } from '../problem.js';

/** `reedtally apply`. */
export const applyCommand = createCommand({
  name: 'apply',
  description: 'Create, replace or remove objects as one change, and wait until it is in force',
  examples: [
    'reedtally apply -f configuration.json',
    'reedtally apply -f configuration.json --force      # although a team gets nowhere to go',
    'reedtally apply --remove binding/chamber-logs,group/spare',
    'reedtally apply -f team.json --expect team/kumasi=17   # unless someone changed it since',
  ],
  args: {
    ...changeArguments,
    file: { type: 'string', alias: 'f', valueHint: 'file', description: 'Configuration file' },
    remove: {
      type: 'string',
      valueHint: 'kind/name,…',
      description: 'Objects to remove in the same change',
    },
    expect: {
      type: 'string',
      valueHint: 'kind/name=version,…',
      description: 'Refuse the change if an object has another version by now',
    },
    force: {
      type: 'boolean',
      description: 'Accept a change that leaves a team with nowhere to go',
    },
  },
  async run(args, terminal) {
    if (args.file === undefined && args.remove === undefined) {
      return Err(createUsageProblem('expected -f FILE or --remove KIND/NAME'));
    }
    const objects = args.file === undefined ? Ok([]) : loadConfigurationFile(args.file);
    if (objects.isErr()) return Err(createFileProblem(objects.error));
    const removals = parseReferences(args.remove);
    if (removals.isErr()) return removals;
    const expected = parseExpected(args.expect);
    if (expected.isErr()) return expected;
    const waitMs = parseMs('wait-ms', args['wait-ms']);
    if (waitMs.isErr()) return waitMs;
    const client = createClient(args, terminal);
    if (client.isErr()) return client;
    const body = {
      objects: objects.value,
      removals: removals.value,
      expected: expected.value,
      force: args.force === true,
    };
    const accepted = await client.value.post('/v1/changes', body, acceptedSchema);
    if (accepted.isErr()) return accepted;
    const terms = { json: args.json === true, waitMs: waitMs.value };
    return Ok(await followChange(client.value, terminal, accepted.value, terms));
  },
});

function splitList(text: string | undefined): string[] {
  return (text ?? '').split(',').filter((part) => part !== '');
}

function parseReference(text: string): Ok<ObjectReference> | Err<Problem> {
  const slash = text.indexOf('/');
  const name = text.slice(slash + 1);
  if (slash < 1 || name === '') {
    return Err(createUsageProblem(`expected KIND/NAME; "${text}" is not of this form`));
  }
  const kind = parseKind(text.slice(0, slash));
  return kind.isErr() ? Err(kind.error) : Ok({ kind: kind.value, name });
}

function parseReferences(text: string | undefined): Ok<ObjectReference[]> | Err<Problem> {
  const references: ObjectReference[] = [];
  for (const part of splitList(text)) {
    const reference = parseReference(part);
    if (reference.isErr()) return reference;
    references.push(reference.value);
  }
  return Ok(references);
}

function parseExpected(text: string | undefined) {
  const expected: (ObjectReference & { version: number })[] = [];
  for (const part of splitList(text)) {
    const [, object = '', version = ''] = /^(.+)=(\d{1,15})$/.exec(part) ?? [];
    if (object === '') {
      return Err(createUsageProblem(`--expect: expected KIND/NAME=VERSION; "${part}" is not`));
    }
    const reference = parseReference(object);
    if (reference.isErr()) return reference;
    expected.push({ ...reference.value, version: Number(version) });
  }
  return Ok(expected);
}
