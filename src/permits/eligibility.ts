/**
 * Which servers can serve a request, whether or not they have room.
 */
import type { PermitQuery } from '../links/index.js';
import type { Vm } from '../ports/index.js';
import type { Server } from './server.js';

/** Consecutive missed answers after which a server gets no new work until it answers again. */
const MAX_MISSED_ANSWERS = 2;

/** The groups of servers in the current configuration. */
export interface GroupMembership {
  isMember(group: string, vm: Vm): boolean;
  /** Whether an operator or the platform's list took the server out of use. */
  isWithdrawn(vm: Vm): boolean;
}

/**
 * Whether a server takes new work.
 *
 * @param server the server
 * @param membership the current configuration
 */
export function isUsable(server: Server, membership: GroupMembership): boolean {
  if (server.incarnation === '' || server.missedAnswers >= MAX_MISSED_ANSWERS) return false;
  if (server.busy || server.leaving || server.heldForOrder) return false;
  return !membership.isWithdrawn(server.vm);
}

/**
 * Whether a server can serve a request, regardless of its role.
 *
 * @param server the server
 * @param query the request
 * @param membership the current configuration
 */
export function canServe(server: Server, query: PermitQuery, membership: GroupMembership): boolean {
  if (!isUsable(server, membership) || query.avoid.includes(server.vm.id)) return false;
  if (!membership.isMember(query.group, server.vm)) return false;
  if (server.vm.kind === 'plain-service') return true;
  if (query.model !== undefined && !server.models.has(query.model)) return false;
  return query.adapter === undefined || server.adapters.has(query.adapter);
}
