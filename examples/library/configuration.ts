/**
 * A configuration in two processes: a change is accepted by one, pushed to the other, and in force
 * in both; a change made on an old version is refused.
 *
 * Run with the origin of a table service: `node dist/examples/library/configuration.js http://…`
 */
import {
  createConfigurationReplica,
  createConfigurationWriter,
  createHttpTableService,
  createMetrics,
  createSilentLog,
  createSystemClock,
  createSystemRandom,
  teamSchema,
  type Change,
} from 'reedtally';

const [, , baseUrl = ''] = process.argv;

function createProcess(node: string, push: (changes: readonly Change[]) => void) {
  const table = createHttpTableService({ baseUrl, timeoutMs: 500 });
  const clock = createSystemClock();
  const random = createSystemRandom();
  const log = createSilentLog();
  const metrics = createMetrics();
  const replica = createConfigurationReplica({
    table,
    clock,
    random,
    log,
    metrics,
    terms: { followEveryMs: 1_000, staleAfterMs: 60_000 },
    fetch: () => Promise.resolve(undefined),
    push,
    onChange: ({ version }) => {
      console.log(`${node} has version ${version} in force`);
    },
  });
  const writer = createConfigurationWriter({ node, table, replica, clock, random, log, metrics });
  return { replica, writer };
}

const two = createProcess('two', () => undefined);
const one = createProcess('one', (changes) => {
  two.replica.receive(changes);
});
await one.replica.start();
await two.replica.start();

const object = teamSchema.parse({ kind: 'team', name: 'kumasi', weight: 2 });
const request = { objects: [object], removals: [], author: 'ama', force: false };
const accepted = await one.writer.write(request);
console.log('accepted as', accepted.unwrap().version);
await two.replica.caughtUp(accepted.unwrap().version);
console.log('weight at two:', two.replica.current().teams.get('kumasi')?.weight);

const expected = [{ kind: 'team' as const, name: 'kumasi', version: 0 }];
const late = await two.writer.write({ ...request, author: 'kofi', expected });
console.log('kofi, who had not seen it:', late.unwrapErr().code);
one.replica.stop();
two.replica.stop();
