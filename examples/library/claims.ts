/**
 * A bill that may be written only once: the first to claim its key does the work, and whoever asks
 * again, in any process, gets the stored answer.
 *
 * Run with the origins of a table service and an object store:
 * `node dist/examples/library/claims.js http://… http://…`
 */
import { createHash, randomUUID } from 'node:crypto';
import { Ok } from 'ts-results-es';
import {
  createClaims,
  createBatchWriter,
  createHttpObjectStore,
  createHttpTableService,
  createMetrics,
  createSilentLog,
  createSystemClock,
  type Claims,
} from 'reedtally';

const [, , tableUrl = '', storeUrl = ''] = process.argv;
const clock = createSystemClock();
const body = '{"shop":"Kaneshie Motors","page":"gasket"}';
const bodyHash = createHash('sha256').update(body).digest('hex');

function createProcess(node: string): Claims {
  const table = createHttpTableService({ baseUrl: tableUrl, timeoutMs: 500 });
  return createClaims({
    table,
    objectStore: createHttpObjectStore({ baseUrl: storeUrl, timeoutMs: 500 }),
    writer: createBatchWriter({ table, clock, gatherMs: 2, maxPerTransaction: 64 }),
    clock,
    log: createSilentLog(),
    metrics: createMetrics(),
    node,
    incarnation: randomUUID(),
    maxInlineBytes: 8_192,
    createId: randomUUID,
    wallClock: () => Date.now(),
    // Nothing is known here of other processes, so none is taken for gone.
    hasLeaseEnded: () => Promise.resolve(false),
  });
}

async function bill(claims: Claims, requestId: string): Promise<string> {
  const asked = await claims.claim({ team: 'kumasi', key: 'invoice-7', requestId, bodyHash });
  if (asked.kind === 'refused') return `refused: ${asked.failure.message}`;
  if (asked.kind === 'answered') return `again: ${Buffer.from(asked.answer.body).toString()}`;
  const page = { status: 200, contentType: 'text/plain', body: Buffer.from('invoice 7 written') };
  await claims.settle(asked.claim, Ok(page));
  return `ran: ${page.body.toString()}`;
}

console.log(await bill(createProcess('one'), 'request-1'));
console.log(await bill(createProcess('two'), 'request-2'));
