/**
 * Two processes that want the same lease: the second has it only after the first gave it back.
 *
 * Run with the origin of a table service: `node dist/examples/library/lease.js http://…`
 */
import { randomUUID } from 'node:crypto';
import {
  createHttpTableService,
  createNodeLease,
  createSilentLog,
  createSystemClock,
  type NodeLease,
} from 'reedtally';

const [, , baseUrl = ''] = process.argv;
const clock = createSystemClock();
const terms = { renewEveryMs: 200, holderMs: 1_000, takerMs: 1_500 };

/** Competes for the lease of the name "exporter"; every process has an incarnation of its own. */
function compete(incarnation: string, acquired: () => void): NodeLease {
  const lease = createNodeLease({
    table: createHttpTableService({ baseUrl, timeoutMs: 500 }),
    clock,
    log: createSilentLog(),
    terms,
    node: 'exporter',
    incarnation,
    peer: '127.0.0.1:0',
    createId: randomUUID,
    acquired,
    lost: () => {
      console.log(`${incarnation} lost it`);
    },
  });
  lease.start();
  return lease;
}

const first = await new Promise<NodeLease>((resolve) => {
  const lease = compete('first', () => {
    resolve(lease);
  });
});
console.log('first holds it:', first.isValid());

const second = new Promise<NodeLease>((resolve) => {
  const lease = compete('second', () => {
    resolve(lease);
  });
});
await first.release();
console.log('first gave it back:', !first.isValid());

const successor = await second;
console.log('second holds it:', successor.isValid());
await successor.release();
