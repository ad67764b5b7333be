/**
 * Decides which VMs belong to an engine group and may get new work from it.
 */
import type { Labels, Vm } from '../ports/index.js';
import type { EngineGroup } from './objects.js';
import { findUnmetRequirement } from './selectors.js';
import type { ConfigurationSnapshot } from './snapshot.js';

/**
 * Gives the labels of a VM as selectors see them: the platform's, with the operators' added and
 * going before.
 *
 * @param snapshot the configuration with the operators' labels
 * @param vm the VM as the platform lists it
 */
export function resolveVmLabels(snapshot: ConfigurationSnapshot, vm: Vm): Labels {
  return { ...vm.labels, ...snapshot.vms.get(vm.id)?.labels };
}

/**
 * Tells why a VM is no member of a group.
 *
 * @param snapshot the configuration to decide by
 * @param group the engine group
 * @param vm the VM as the platform lists it
 * @returns the reason in words, or `undefined` for a member
 */
export function explainNonMember(
  snapshot: ConfigurationSnapshot,
  group: EngineGroup,
  vm: Vm,
): string | undefined {
  const wanted = group.service === undefined ? 'model-engine' : 'plain-service';
  if (vm.kind !== wanted) return `is of kind ${vm.kind}, the group takes ${wanted}`;
  return findUnmetRequirement(group.selector, resolveVmLabels(snapshot, vm));
}

/**
 * Tells whether a VM belongs to a group, whether or not it may get new work.
 *
 * @param snapshot the configuration to decide by
 * @param group the engine group
 * @param vm the VM as the platform lists it
 */
export function isMember(snapshot: ConfigurationSnapshot, group: EngineGroup, vm: Vm): boolean {
  return explainNonMember(snapshot, group, vm) === undefined;
}

/**
 * Tells why a VM gets no new work, whatever its groups.
 *
 * @param snapshot the configuration with the operators' drains
 * @param vm the VM as the platform lists it
 * @returns the reason in words, or `undefined` where new work may go to it
 */
export function explainNoNewWork(snapshot: ConfigurationSnapshot, vm: Vm): string | undefined {
  if (vm.state === 'leaving') return 'the platform lists it as leaving';
  if (snapshot.vms.get(vm.id)?.drained === true) return 'an operator drains it';
  return undefined;
}
