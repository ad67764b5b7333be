/**
 * Writes what operators say of a VM.
 */
import type { Result } from 'ts-results-es';
import type { AcceptedWrite, VmLabels } from '../../configuration/index.js';
import type { Failure } from '../../errors/index.js';
import type { OperatorParts } from '../parts.js';

/**
 * Gives the stored object of a VM of which no operator has said anything yet.
 *
 * @param id the VM's id
 */
export function createVmLabels(id: string): VmLabels {
  return { kind: 'vm', name: id, labels: {}, drained: false, ordersSettled: 0 };
}

/**
 * Changes the stored object of a VM.
 *
 * @param parts what the front is made of
 * @param id the VM's id
 * @param author who asks
 * @param change gives the new object from the old one
 */
export function writeVm(
  parts: OperatorParts,
  id: string,
  author: string,
  change: (vm: VmLabels) => VmLabels,
): Promise<Result<AcceptedWrite, Failure>> {
  const snapshot = parts.replica.current();
  const version = snapshot.changes.get(`vm/${id}`)?.version ?? 0;
  return parts.writer.write({
    objects: [change(snapshot.vms.get(id) ?? createVmLabels(id))],
    removals: [],
    author,
    force: false,
    expected: [{ kind: 'vm', name: id, version }],
  });
}
