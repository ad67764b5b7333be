/**
 * Which step of the catalogue a call to the table belongs to.
 */
import { match } from 'ts-pattern';
import { parseClaimRow } from '../../src/claims/index.js';
import type { Step } from '../../src/errors/index.js';
import { nodeRowKey, parseNodeRow } from '../../src/lease/index.js';
import type { TablePurpose } from '../../src/node/environment.js';
import { engineRowSchema } from '../../src/orders/index.js';
import type { Transaction } from '../../src/ports/index.js';
import { parseShardRow } from '../../src/shards/index.js';

const CONFIGURATION_LOG = 'configuration/log/';

/**
 * The step of a read.
 *
 * @param purpose what the table is used for
 * @param key the key or prefix that is read
 */
export function resolveReadStep(purpose: TablePurpose, key: string): Step | undefined {
  return match<TablePurpose, Step | undefined>(purpose)
    .with('claims', () => 'claim.read-back')
    .with('configuration', () =>
      key.startsWith(CONFIGURATION_LOG) && key !== CONFIGURATION_LOG
        ? 'configuration.read-back'
        : 'configuration.follow',
    )
    .with('lease', 'shards', 'orders', () => undefined)
    .exhaustive();
}

/**
 * The step of a write.
 *
 * @param purpose what the table is used for
 * @param node the node that writes
 * @param transaction what it writes
 */
export function resolveWriteStep(
  purpose: TablePurpose,
  node: string,
  transaction: Transaction,
): Step {
  const [put] = transaction.puts;
  return match<TablePurpose, Step>(purpose)
    .with('lease', () => resolveLeaseStep(node, put))
    .with('shards', () =>
      parseShardRow(put?.value)?.released === true ? 'shard.release' : 'shard.take',
    )
    .with('orders', () => resolveOrderStep(put?.value))
    .with('claims', () =>
      parseClaimRow(put?.value)?.state === 'claimed' ? 'claim.insert' : 'claim.settle',
    )
    .with('configuration', () => 'configuration.transact')
    .exhaustive();
}

function resolveLeaseStep(node: string, put: Transaction['puts'][number] | undefined): Step {
  const row = parseNodeRow(put?.value);
  if (put?.key !== nodeRowKey(node)) return 'lease.lapse';
  if (row?.state === 'released') return 'shutdown.wait';
  return row?.counter === 0 ? 'lease.join' : 'lease.renew';
}

function resolveOrderStep(value: unknown): Step {
  const row = engineRowSchema.safeParse(value);
  return row.data?.order?.state === 'settled' ? 'order.settle' : 'order.journal';
}
