/**
 * Which servers can serve a request at all, with room or without.
 */
import type { PermitQuery } from '../links/index.js';
import type { Vm } from '../ports/index.js';
import type { Server } from './server.js';

/** A server that did not answer so often in a row gets no new work until it does. */
const MAX_SILENCES = 2;

/** What the configuration in force says of a server. */
export interface GroupMembership {
  /** Whether a server belongs to a group. */
  isMember(group: string, vm: Vm): boolean;
  /** Whether operators or the platform's list took a server out of use. */
  isWithdrawn(vm: Vm): boolean;
}

/**
 * Whether a server takes new work at all.
 *
 * @param server its tally
 * @param membership the configuration in force
 */
export function isUsable(server: Server, membership: GroupMembership): boolean {
  if (server.incarnation === '' || server.missedAnswers >= MAX_SILENCES) return false;
  if (server.busy || server.leaving || server.heldForOrder) return false;
  return !membership.isWithdrawn(server.vm);
}

/**
 * Whether a server can serve a request, whatever its role.
 *
 * @param server its tally
 * @param query the request
 * @param membership the configuration in force
 */
export function canServe(server: Server, query: PermitQuery, membership: GroupMembership): boolean {
  if (!isUsable(server, membership) || query.avoid.includes(server.vm.id)) return false;
  if (!membership.isMember(query.group, server.vm)) return false;
  if (server.vm.kind === 'plain-service') return true;
  if (query.model !== undefined && !server.models.has(query.model)) return false;
  return query.adapter === undefined || server.adapters.has(query.adapter);
}
