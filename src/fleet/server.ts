/**
 * A backend server as a gateway knows it from the registry.
 */

/** What a model engine does at present: read prompts for others, or generate. */
export type EngineRole = 'prefill' | 'decode';

/** One incarnation of a backend server. */
export interface RegisteredServer {
  /** Names the incarnation, so that nothing kept about one is taken for another's. */
  id: string;
  /** Start of the incarnation by the server's clock, in ms since the epoch; only told apart, never compared,
   * since clocks jump back. `undefined` where servers do not say. */
  bornAtMs?: number | undefined;
  service: string;
  /** `host:port`. */
  address: string;
  zone: string;
  /** Version of its software; `undefined` where a peer of an earlier release relayed the entry without it. */
  version?: string | undefined;
  /** Requests that it runs at once. */
  slots: number;
  /** Takes no new requests; what runs there finishes. */
  isLeaving: boolean;
  /** Present for model engines. */
  role: EngineRole | undefined;
  /** How much longer it works slowly after its start, in milliseconds. */
  warmUpMs: number;
}

/** A change of the registry: a server as it is now, or that there is none to use. */
export interface RegistryChange {
  /** The entry's name, which a server may keep when it starts again. */
  id: string;
  /** Grows with each change in the registry. */
  revision: number;
  /** `undefined` when the entry was removed, or names no server to use. */
  server: RegisteredServer | undefined;
  /** Why an entry that is there names no server to use. */
  unusable?: UnusableEntry | undefined;
}

/** Why an entry names no server to use. */
export interface UnusableEntry {
  /** What could not be read: the bytes, the document or its fields. */
  reason: 'bytes' | 'document' | 'fields';
  issues: string;
}

/**
 * Names an incarnation.
 *
 * @param name the name of the server's entry
 * @param bornAtMs start of the incarnation, as the server says
 */
export function resolveIncarnation(name: string, bornAtMs: number | undefined): string {
  return bornAtMs === undefined ? name : `${name}${formatBirth(bornAtMs)}`;
}

/**
 * The name of a server's entry, by which the server itself goes.
 *
 * @param server one of its incarnations
 */
export function resolveServerName({ id, bornAtMs }: RegisteredServer): string {
  return bornAtMs === undefined ? id : id.slice(0, -formatBirth(bornAtMs).length);
}

function formatBirth(bornAtMs: number): string {
  return `@${bornAtMs}`;
}
