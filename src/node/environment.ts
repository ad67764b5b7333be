/**
 * What a node takes from the machine it runs on: time, chance, the network and the platform. The
 * daemon uses the real ones; the fault matrix puts fakes in their place and leaves the rest as is.
 */
import { randomUUID } from 'node:crypto';
import type { Hono } from 'hono';
import { createLinks, type Links, type LinksParts } from '../links/index.js';
import type { Metrics } from '../metrics/index.js';
import { createHttpModelEngine, createHttpPlainService } from '../ports/http/index.js';
import type { BackendFactories } from '../router/index.js';
import type { Certificate, Settings } from '../settings/index.js';
import {
  createSystemClock,
  createSystemRandom,
  type Clock,
  type RandomSource,
} from '../task/index.js';
import { createPlatform, type Platform } from './platform.js';
import { listen, type Listener } from './servers.js';

/** What a node takes from the machine it runs on. */
export interface NodeEnvironment extends BackendFactories {
  clock: Clock;
  random: RandomSource;
  createId: () => string;
  /** Milliseconds since the epoch; nothing is decided by it but when a claim may be swept. */
  wallClock: () => number;
  createPlatform(settings: Settings['platform'], metrics: Metrics): Platform;
  createLinks(parts: LinksParts): Links;
  /** Starts to listen; rejects when the address is taken. */
  listen: (
    app: Pick<Hono, 'fetch'>,
    address: string,
    readTimeoutMs: number,
    node: string,
    certificate?: Certificate,
  ) => Promise<Listener>;
}

/** The machine itself. */
export function createSystemEnvironment(): NodeEnvironment {
  return {
    clock: createSystemClock(),
    random: createSystemRandom(),
    createId: randomUUID,
    wallClock: () => Date.now(),
    createPlatform,
    createLinks,
    listen,
    createEngine: (id, address) => createHttpModelEngine({ id, address }),
    createService: (id, address) => createHttpPlainService({ id, address }),
  };
}

export type { Platform, TablePurpose } from './platform.js';
