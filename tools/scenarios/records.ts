/**
 * The records that the stand-ins keep, by which everything is judged.
 */
import type { EngineEntry, PlainServiceEntry, Stamped } from '../../stand-ins/index.js';
import { listEngines, listServices, type Cluster } from '../common/index.js';

/** Records of all backend servers of a scenario, by VM id. */
export interface Records {
  engines: Map<string, Stamped<EngineEntry>[]>;
  services: Map<string, Stamped<PlainServiceEntry>[]>;
}

/** Reads all records. */
export async function readRecords(cluster: Cluster): Promise<Records> {
  const engines = new Map<string, Stamped<EngineEntry>[]>();
  for (const id of listEngines(cluster.plan)) {
    engines.set(id, await readRecord<EngineEntry>(cluster, id));
  }
  const services = new Map<string, Stamped<PlainServiceEntry>[]>();
  for (const id of listServices(cluster.plan)) {
    services.set(id, await readRecord<PlainServiceEntry>(cluster, id));
  }
  return { engines, services };
}

/** The number of the newest entry of a server's record. */
export async function readSequence(cluster: Cluster, server: string): Promise<number> {
  const entries = await readRecord<EngineEntry | PlainServiceEntry>(cluster, server);
  return entries.at(-1)?.sequence ?? 0;
}

async function readRecord<Entry>(cluster: Cluster, server: string): Promise<Stamped<Entry>[]> {
  const answer = await cluster.control(cluster.originOf(server), 'GET', '/-/record');
  const { entries, dropped } = answer as { entries: Stamped<Entry>[]; dropped: number };
  if (dropped > 0) throw new Error(`${server} let go of ${dropped} entries of its record`);
  return entries;
}
