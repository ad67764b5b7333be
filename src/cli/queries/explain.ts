/**
 * `reedtally explain`: which backend servers a team and class reach, and why not the others.
 */
import { Err, Ok } from 'ts-results-es';
import { explanationSchema, type Explanation } from '../../configuration/index.js';
import { connectionArguments } from '../arguments.js';
import { createClient } from '../client.js';
import { createCommand } from '../command.js';
import { exitCodes } from '../exit-code.js';
import { createUsageProblem } from '../problem.js';
import type { Terminal } from '../terminal.js';

/** `reedtally explain`. */
export const explainCommand = createCommand({
  name: 'explain',
  description:
    'Show which backend servers a team and class reach, by which binding, and why not others',
  examples: [
    'reedtally explain --team kumasi --class verdict --model manual-7b',
    'reedtally explain --team kumasi --class page --service catalogue',
  ],
  args: {
    ...connectionArguments,
    team: { type: 'string', required: true, description: 'Name of the team' },
    class: { type: 'string', required: true, description: 'Name of the request class' },
    model: { type: 'string', description: 'The wanted model' },
    service: { type: 'string', description: 'The wanted plain service, in place of a model' },
  },
  async run(args, terminal) {
    if ((args.model === undefined) === (args.service === undefined)) {
      return Err(createUsageProblem('expected exactly one of --model and --service'));
    }
    const client = createClient(args, terminal);
    if (client.isErr()) return client;
    const query = new URLSearchParams({ team: args.team, class: args.class });
    if (args.model !== undefined) query.set('model', args.model);
    if (args.service !== undefined) query.set('service', args.service);
    const path = `/v1/explain?${query.toString()}`;
    const explanation = await client.value.get(path, explanationSchema);
    if (explanation.isErr()) return Err(explanation.error);
    if (args.json === true) terminal.print(JSON.stringify(explanation.value));
    else printExplanation(terminal, explanation.value);
    return Ok(exitCodes.ok);
  },
});

function printExplanation(terminal: Terminal, explanation: Explanation): void {
  const { version, groups, failure, bindings, vms } = explanation;
  terminal.print(`configuration version ${version}`);
  if (failure === undefined) terminal.print(`groups: ${groups.join(', ')}`);
  else terminal.print(`no route: ${failure.code}: ${failure.message}`);
  terminal.print('bindings (highest precedence goes first, equal ones add their groups):');
  for (const { name, precedence, verdict, reasons } of bindings) {
    const why = reasons.length > 0 ? `: ${reasons.join('; ')}` : '';
    terminal.print(`  ${name} (precedence ${precedence}) ${verdict}${why}`);
  }
  terminal.print('backend servers:');
  for (const { id, zone, reached, groups: memberOf, reasons } of vms) {
    const verdict = reached ? `reached by ${memberOf.join(', ')}` : 'not reached';
    const why = reasons.length > 0 ? `: ${reasons.join('; ')}` : '';
    terminal.print(`  ${id} (${zone}) ${verdict}${why}`);
  }
}
