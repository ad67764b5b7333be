/**
 * `reedtally drain`, `undrain` and `orders-settled`: what operators say of one VM.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import { acceptedSchema } from '../../operator/status.js';
import { changeArguments, parseMs } from '../arguments.js';
import { createClient, type Connection } from '../client.js';
import { createCommand } from '../command.js';
import type { ExitCode } from '../exit-code.js';
import { followChange } from '../follow-change.js';
import { createUsageProblem, type Problem } from '../problem.js';
import type { Terminal } from '../terminal.js';

const vmArguments = {
  ...changeArguments,
  vm: { type: 'positional', required: true, description: 'Id of the VM, as the platform lists it' },
} as const;

/** `reedtally drain`. */
export const drainCommand = createCommand({
  name: 'drain',
  description: 'Give a backend server no new work; requests that run on it finish',
  examples: ['reedtally drain engine-3'],
  args: vmArguments,
  run: (args, terminal) => changeVm({ ...args, action: 'drain', body: {} }, terminal),
});

/** `reedtally undrain`. */
export const undrainCommand = createCommand({
  name: 'undrain',
  description: 'Give a backend server work again',
  examples: ['reedtally undrain engine-3'],
  args: vmArguments,
  run: (args, terminal) => changeVm({ ...args, action: 'undrain', body: {} }, terminal),
});

/** `reedtally orders-settled`. */
export const ordersSettledCommand = createCommand({
  name: 'orders-settled',
  description:
    'Give your word that no order of a former holder can reach an engine any more: its process ' +
    'has ended, or its VM is gone',
  examples: ['reedtally orders-settled engine-3 --fence 41'],
  args: {
    ...vmArguments,
    fence: {
      type: 'string',
      required: true,
      valueHint: 'number',
      description: "The former holder's fencing number, as event 2015 names it",
    },
  },
  run(args, terminal) {
    const fence = Number(args.fence);
    if (!Number.isSafeInteger(fence) || fence < 1) {
      const problem = createUsageProblem('--fence: expected a whole number above 0');
      return Promise.resolve(Err(problem));
    }
    return changeVm({ ...args, action: 'orders-settled', body: { fence } }, terminal);
  },
});

interface VmChange extends Connection {
  vm: string;
  'wait-ms': string;
  json?: boolean | undefined;
  action: string;
  body: object;
}

async function changeVm(change: VmChange, terminal: Terminal): Promise<Result<ExitCode, Problem>> {
  const waitMs = parseMs('wait-ms', change['wait-ms']);
  if (waitMs.isErr()) return waitMs;
  const client = createClient(change, terminal);
  if (client.isErr()) return client;
  const path = `/v1/vms/${encodeURIComponent(change.vm)}/${change.action}`;
  const accepted = await client.value.post(path, change.body, acceptedSchema);
  if (accepted.isErr()) return accepted;
  const terms = { json: change.json === true, waitMs: waitMs.value };
  return Ok(await followChange(client.value, terminal, accepted.value, terms));
}
