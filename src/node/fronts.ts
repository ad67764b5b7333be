/** The two fronts of a node as HTTP listeners: opened together, closed in their order. */
import type { Hono } from 'hono';
import type { Certificate, Settings } from '../settings/index.js';
import type { NodeEnvironment } from './environment.js';
import type { Listener } from './servers.js';

/** Operators may watch a node for ever; its shutdown ends that. */
const OPERATOR_GRACE_MS = 1_000;

/** What answers on each front. */
export interface FrontApps {
  caller: Pick<Hono, 'fetch'>;
  operator: Pick<Hono, 'fetch'>;
}

/** What the fronts need. */
export interface FrontsParts {
  node: string;
  settings: Pick<Settings, 'listen' | 'requests' | 'shutdown'>;
  certificates: { caller?: Certificate; operator?: Certificate };
  listen: NodeEnvironment['listen'];
}

/** Where the fronts listen. */
export interface FrontAddresses {
  caller: string;
  operator: string;
}

/** The fronts of a node. */
export interface Fronts {
  /** Starts to listen; rejects when an address is taken. */
  open(apps: FrontApps): Promise<FrontAddresses>;
  /** Takes no new connections; callers' answers are finished first. */
  close(): Promise<void>;
}

/**
 * Creates fronts that do not listen yet.
 *
 * @param parts where they listen, and how
 */
export function createFronts(parts: FrontsParts): Fronts {
  const { node, settings, certificates } = parts;
  let caller: Listener | undefined;
  let operator: Listener | undefined;

  return {
    async open(apps) {
      const { listen, requests } = settings;
      const { readTimeoutMs } = requests;
      caller = await parts.listen(
        apps.caller,
        listen.caller,
        readTimeoutMs,
        node,
        certificates.caller,
      );
      operator = await parts.listen(
        apps.operator,
        listen.operator,
        readTimeoutMs,
        node,
        certificates.operator,
      );
      return { caller: caller.address, operator: operator.address };
    },
    async close() {
      await caller?.close(settings.shutdown.graceMs);
      await operator?.close(OPERATOR_GRACE_MS);
    },
  };
}
