/**
 * Fenced orders: a holder journals an order before it sends it. Once a successor has taken the
 * shard, the former holder's journal writes are refused by the table, and the engine refuses what it
 * may still send, because its fencing number is old.
 *
 * Run with the origin of a table service and the address of an engine that checks fencing numbers:
 * `node dist/examples/library/orders.js http://… 127.0.0.1:…`
 */
import {
  createHttpModelEngine,
  createHttpTableService,
  createOrderJournal,
  shardRowKey,
  type HeldShard,
  type Order,
} from 'reedtally';

const [, , baseUrl = '', address = ''] = process.argv;
const table = createHttpTableService({ baseUrl, timeoutMs: 500 });
const engine = createHttpModelEngine({ id: 'engine-1', address });
const key = shardRowKey('manuals');

/** Takes the shard by a conditional write; its fencing number only grows. */
async function take(node: string): Promise<HeldShard> {
  const row = (await table.get(key)).unwrap();
  const revision = row?.revision ?? 0;
  const holder = { node, incarnation: `${node}-a`, leaseId: `${node}-1`, peer: '127.0.0.1:9' };
  const value = { holder, fence: revision + 1, released: false };
  const conditions = [{ key, revision }];
  const taken = await table.transact({ conditions, puts: [{ key, value }], deletes: [] });
  if (taken.kind !== 'committed') throw new Error(`the shard could not be taken: ${taken.kind}`);
  return { name: 'manuals', fence: value.fence, revision: taken.revision, holder };
}

async function order(held: HeldShard, orderId: string): Promise<void> {
  const { fence, holder } = held;
  const journal = createOrderJournal(table, held);
  const known = (await journal.read('engine-1')).unwrap();
  const wanted: Order['wanted'] = { role: 'decode', models: ['manual-7b'], adapters: [] };
  const outstanding = { state: 'outstanding' as const, incarnation: null };
  const next = {
    ...known.row,
    fence,
    order: { id: orderId, fence, wanted, by: holder, ...outstanding },
  };
  const written = await journal.write('engine-1', known, next);
  console.log(`${holder.node} journals ${orderId}:`, written.kind);
  // A real holder stops unless it was written; this one stands for one that was paused in between.
  const sent = await engine.order({ orderId, fence, node: holder.node, wanted });
  console.log(`${holder.node} sends ${orderId}:`, sent.kind);
}

const former = await take('entry-1');
await order(former, 'order-1');
const successor = await take('entry-2');
await order(successor, 'order-2');
// The former holder was paused, wakes up and still believes that it holds the shard.
await order(former, 'order-3');
