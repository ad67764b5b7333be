/**
 * What may go wrong in the middle of a run.
 */
import { match } from 'ts-pattern';
import { request } from 'undici';
import type { RunningDeployment } from './deployment.js';

/** Faults that a run can have. */
export type FaultName = 'none' | 'engine-lost' | 'node-killed' | 'table-outage';

export const faultNames: readonly FaultName[] = [
  'none',
  'engine-lost',
  'node-killed',
  'table-outage',
];

/** An engine that is lost does not come back within the run. */
const ENGINE_DOWN_MS = 600_000;

/**
 * Causes a fault now.
 *
 * @param fault which
 * @param running where
 */
export async function causeFault(fault: FaultName, running: RunningDeployment): Promise<void> {
  await match(fault)
    .with('none', () => Promise.resolve())
    .with('engine-lost', () => crashEngine(running.engines[0] ?? ''))
    .with('node-killed', () => killHolder(running))
    .with('table-outage', () => setFault(running.table, { kind: 'unavailable' }))
    .exhaustive();
}

async function setFault(address: string, fault: object): Promise<void> {
  const answer = await request(`http://${address}/-/faults`, {
    method: 'POST',
    body: JSON.stringify(fault),
  });
  await answer.body.dump();
  if (answer.statusCode >= 300) throw new Error(`fault not set: status ${answer.statusCode}`);
}

/** A crash breaks every connection to the engine, that of the command too. */
async function crashEngine(address: string): Promise<void> {
  const fault = { kind: 'crash', downMs: ENGINE_DOWN_MS };
  await setFault(address, fault).catch(() => undefined);
  const answered = await request(`http://${address}/v1/state`).catch(() => undefined);
  if (answered !== undefined) throw new Error(`the engine at ${address} did not crash`);
}

/** Kills the node that holds the engines' shard, the worst one to lose. */
async function killHolder(running: RunningDeployment): Promise<void> {
  const holder = await findHolder(running);
  const node = running.nodes.find(({ name }) => name === holder) ?? running.nodes[0];
  await node?.process.kill();
}

async function findHolder(running: RunningDeployment): Promise<string | undefined> {
  const shards = await running.readShards();
  const engines = shards.find(({ servers }) => servers.some(({ id }) => id.startsWith('engine')));
  return engines?.holder;
}
