/**
 * `reedtally hash-key`: makes the hash of an API key, and the key itself unless one is given.
 */
import { createHash, randomBytes } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { Err, Ok, type Result } from 'ts-results-es';
import { outputArguments } from '../arguments.js';
import { createCommand } from '../command.js';
import { exitCodes } from '../exit-code.js';
import { createUsageProblem, type Problem } from '../problem.js';

const KEY_BYTES = 32;

/** `reedtally hash-key`. */
export const hashKeyCommand = createCommand({
  name: 'hash-key',
  description: "Make an API key's hash for a team's keyHashes; without a file, make a key as well",
  examples: [
    'reedtally hash-key                    # a new key and its hash',
    'reedtally hash-key --key-file key.txt # the hash of a key in a file, - for standard input',
  ],
  args: {
    ...outputArguments,
    'key-file': {
      type: 'string',
      valueHint: 'file',
      description: 'File with the key; - for standard input',
    },
  },
  run(args, terminal) {
    const file = args['key-file'];
    const key = file === undefined ? Ok(randomBytes(KEY_BYTES).toString('hex')) : loadKey(file);
    if (key.isErr()) return Promise.resolve(key);
    const hash = createHash('sha256').update(key.value).digest('hex');
    const made = file === undefined ? { key: key.value, hash } : { hash };
    if (args.json === true) terminal.print(JSON.stringify(made));
    else for (const [name, value] of Object.entries(made)) terminal.print(`${name} ${value}`);
    return Promise.resolve(Ok(exitCodes.ok));
  },
});

function loadKey(file: string): Result<string, Problem> {
  try {
    const key = readFileSync(file === '-' ? 0 : file, 'utf8').trim();
    if (key !== '') return Ok(key);
  } catch {
    return Err(createUsageProblem(`--key-file: ${file} cannot be read`));
  }
  return Err(createUsageProblem(`--key-file: ${file} is empty`));
}
