/**
 * Registry changes as gateways pass them on. A server goes by its entry's name there, with its start beside
 * it, so that a gateway which knows nothing of incarnations understands the message as well.
 */
import {
  resolveIncarnation,
  resolveServerName,
  type RegisteredServer,
  type RegistryChange,
} from '../fleet/index.js';
import type { PeerMessage } from '../peers/index.js';

type SentChange = (PeerMessage & { kind: 'fleet' })['changes'][number];

/** Changes as they are sent. */
export function packChanges(changes: readonly RegistryChange[]): SentChange[] {
  const packed: SentChange[] = [];
  for (const { server, ...change } of changes) {
    if (server === undefined) packed.push(change);
    else packed.push({ ...change, server: { ...server, id: resolveServerName(server) } });
  }
  return packed;
}

/** Changes as they were sent. */
export function unpackChanges(changes: readonly SentChange[]): RegistryChange[] {
  const found: RegistryChange[] = [];
  for (const { server, ...change } of changes) {
    found.push({ ...change, server: server === undefined ? undefined : unpackServer(server) });
  }
  return found;
}

function unpackServer(sent: NonNullable<SentChange['server']>): RegisteredServer {
  return { ...sent, id: resolveIncarnation(sent.id, sent.bornAtMs), role: sent.role };
}
