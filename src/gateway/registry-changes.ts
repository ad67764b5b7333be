/**
 * Registry changes as gateways relay them. A server is identified by its entry's name and its start time, so
 * that gateways of older versions, which do not know incarnations, can read the message.
 */
import {
  resolveIncarnation,
  resolveServerName,
  type RegisteredServer,
  type RegistryChange,
} from '../fleet/index.js';
import type { PeerMessage } from '../peers/index.js';

type WireChange = (PeerMessage & { kind: 'fleet' })['changes'][number];

/** Converts changes for sending. */
export function packChanges(changes: readonly RegistryChange[]): WireChange[] {
  const packed: WireChange[] = [];
  for (const { server, ...change } of changes) {
    if (server === undefined) packed.push(change);
    else packed.push({ ...change, server: { ...server, id: resolveServerName(server) } });
  }
  return packed;
}

/** Converts received changes. */
export function unpackChanges(changes: readonly WireChange[]): RegistryChange[] {
  const unpacked: RegistryChange[] = [];
  for (const { server, ...change } of changes) {
    unpacked.push({ ...change, server: server === undefined ? undefined : unpackServer(server) });
  }
  return unpacked;
}

function unpackServer(wire: NonNullable<WireChange['server']>): RegisteredServer {
  return { ...wire, id: resolveIncarnation(wire.id, wire.bornAtMs), role: wire.role };
}
