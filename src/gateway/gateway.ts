/**
 * Composes a gateway, the process that callers connect to, from its parts and the platform's adapters.
 */
import { randomUUID } from 'node:crypto';
import {
  createAdmission,
  createArrivals,
  ownLoop,
  type Admission,
  type EventLoop,
} from '../arrivals/index.js';
import { createBackpressure, type ServerSignals } from '../backpressure/index.js';
import type { BoundedLog } from '../events/index.js';
import {
  createFleet,
  createFleetHealth,
  type RegisteredServer,
  type RegistryChange,
} from '../fleet/index.js';
import { createMemoryBudget, resolveBudgetBytes } from '../memory/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import { createOverlay, type Overlay } from '../peers/index.js';
import { watchMemory } from '../process/index.js';
import { resolveEra } from '../ports/position.js';
import type { RowFeed } from '../ports/row-feed.js';
import type { TableService } from '../ports/table-service.js';
import {
  createFront,
  createIntake,
  createServerLoads,
  createCallerRetries,
  serveRequest,
  type BackendProtocol,
  type RelayParts,
} from '../relay/index.js';
import { createRetryBudget } from '../retries/index.js';
import { createOrderLease, createRoleController, type RoleOrders } from '../roles/index.js';
import { createRoutingReplica, type RoutingDocument, type Service } from '../routing/index.js';
import {
  allMechanisms,
  createJobSubmitter,
  type CacheInventory,
  type SchedulingMechanisms,
} from '../scheduling/index.js';
import { createGuardedClock, wait, type Clock, type RandomSource } from '../task/index.js';
import { createDraining } from './draining.js';
import { createPauseAwareCalls } from './engine-calls.js';
import { createFollowers } from './followers.js';
import { startFollowing } from './following.js';
import { createOriginKeeping } from './origin-keeping.js';
import { createPersistentQuarantine } from './persistent-quarantine.js';
import { createPeering } from './peering.js';
import { publishAddress } from './publish-address.js';
import { createSchedulers } from './schedulers.js';
import { createServerPaths } from './server-paths.js';
import { formatAddress, type GatewaySettings } from './settings.js';
import { createStoreHealth } from './store-health.js';
import { startStatus, type StatusFormat } from './status.js';

/** Share of the longest directory TTL that is used, so that callers leave a stopping gateway within its grace
 * period. */
const TTL_SHARE = 0.4;
/** Share of a server's connections used by all gateways together. */
const CONNECTION_SHARE = 0.8;
/** Connections to a server that each gateway may open at least. */
const MIN_CONNECTIONS = 4;

/** Longest delay before seeds are dialled, in ms. The addresses in the store are read first, since all gateways
 * have the same few seeds, which a fleet that starts at once would overload. */
const MAX_SEED_DELAY_MS = 300;

/** Part of the time for closing in which the last answers are written and the platform stores the last records. */
const FLUSH_SHARE = 0.6;
/** Poll interval of the last answers, in ms. */
const ANSWER_POLL_MS = 10;

/** Time over which gateways spread the rewriting of rows after the store was restored from a backup, in ms; rows
 * must be back within two seconds. */
const REWRITE_SPREAD_MS = 1_500;

const BYTES_PER_MB = 1_048_576;

/** The platform's adapters. */
export interface GatewayPlatform extends StatusFormat {
  protocol: BackendProtocol;
  table: TableService;
  /** Registers a listener for restores of the store from an older copy. */
  onRestored: (listener: () => void) => void;
  /** Registers a listener for servers' signals in responses to the platform's own calls. */
  onSignals: (listener: (server: RegisteredServer, signals: ServerSignals) => void) => void;
  routes: RowFeed<RoutingDocument>;
  registry: RowFeed<RegistryChange>;
  roleOrders: RoleOrders;
  caches: CacheInventory;
  /** Decodes routes relayed by a peer; logs and returns `undefined` if they are invalid. */
  parseRoutes(text: string): RoutingDocument | undefined;
}

/** Dependencies of a gateway. */
export interface GatewayParts {
  settings: GatewaySettings;
  platform: GatewayPlatform;
  clock: Clock;
  random: RandomSource;
  log: BoundedLog;
  metrics: GatewayMetrics;
  /** Enabled scheduling mechanisms; all by default. */
  mechanisms?: SchedulingMechanisms;
  /** Decides which requests are taken in; by default from the load of the event loop, which then has to be the gateway's
   * own. */
  admission?: Admission;
  /** The event loop, from which the age of requests is estimated; by default that of this process. */
  loop?: EventLoop;
}

/** A running gateway. */
export interface Gateway {
  /** Number of requests in progress. */
  inFlight(): number;
  /** Applies changed settings; listen addresses keep their initial values. */
  reconfigure(settings: GatewaySettings): void;
  /**
   * Finishes requests in flight and stops within the grace period.
   *
   * @param askedAt when the stop was asked for, in ms on the gateway's clock; now by default
   */
  stop(askedAt?: number): Promise<void>;
}

/**
 * Starts a gateway.
 *
 * @param parts settings, platform and process-wide services
 */
export async function startGateway(parts: GatewayParts): Promise<Gateway> {
  const { settings, platform, clock, random, log, metrics } = parts;
  const { node, zone } = settings;
  const mechanisms = parts.mechanisms ?? allMechanisms;
  const shutdown = new AbortController();
  let hasReadAddresses = false;
  let isListening = false;

  const ownBytes = process.memoryUsage.rss();
  const memory = createMemoryBudget(resolveBudgetBytes(resolveMemoryLimit(), ownBytes));

  const storeHealth = createStoreHealth(clock, log, {
    lost() {
      fleet.storeLost();
    },
    returned() {
      fleet.storeReturned();
    },
  });
  const health = createFleetHealth(clock, log);
  const serverPaths = createServerPaths({
    clock,
    random,
    log,
    metrics,
    zone,
    fleet: () => fleet,
    overlay: () => overlay,
    limitConnections,
    isStopping: () => draining.isStopping(),
    memory,
  });
  const { connections, paths } = serverPaths;
  const loads = createServerLoads(clock);
  const backpressure = createBackpressure({
    clock,
    random,
    log,
    metrics,
    node,
    timeOfDay: () => Date.now(),
    allocatorOf: (server) => schedulers.holderOf(fleet.find(server)?.service ?? ''),
    gateways: () => overlay.knownGateways(),
    serverLeaving(server) {
      fleet.retire(server, 'the server announced that it is leaving');
    },
    broadcast(message) {
      overlay.broadcast(message);
    },
    send: (peer, message) => overlay.send(peer, message),
  });
  platform.onSignals((server, signals) => {
    backpressure.signalsReceived(server, signals, false);
  });
  const fleet = createFleet(
    clock,
    log,
    (id, successor) => {
      const isGone = successor !== undefined || fleet.find(id) === undefined;
      if (isGone) quarantine.serverRemoved(id, successor !== undefined);
      if (successor !== undefined) connections.resetStale(id, resolveAgeMs(successor));
      serverPaths.forget(id);
      health.forget(id);
      if (isGone) backpressure.forget(id);
      schedulers.forget(id);
    },
    ({ reason }) => {
      metrics.unusableEntries.inc({ reason });
    },
    ({ service, version }) => {
      history.seen(service, version);
    },
  );
  const routes = createRoutingReplica(log, () => {
    front.refreshLimits();
    metrics.routesSince.reset();
    metrics.routesSince.set({ version: routes.version() }, Date.now() / 1_000);
  });
  const {
    streams,
    history,
    rows: versionRows,
    stored: storedOrigins,
  } = createOriginKeeping({
    clock,
    log,
    metrics,
    node,
    table: platform.table,
    signal: shutdown.signal,
    fleet: () => fleet,
    routes,
    overlay: () => overlay,
    isStoreReachable: () => storeHealth.isReachable(),
    hasReadAddresses: () => hasReadAddresses,
    holderOf: (service) => schedulers.holderOf(service),
  });
  const { quarantine, banRows } = createPersistentQuarantine({
    clock,
    log,
    metrics,
    node,
    table: platform.table,
    signal: shutdown.signal,
    paths: () => paths,
    coordinatorOf: (service) => schedulers.holderOf(service),
    overlay: () => overlay,
  });
  const budget = createRetryBudget(
    clock,
    () => ({
      ratio: settings.bounds.retryRatio,
      allowance: settings.bounds.retryAllowance,
      windowMs: settings.bounds.retryWindowMs,
    }),
    () => overlay.fleetSize(),
  );
  const guardedClock = createGuardedClock(clock, (error) => {
    log.write('decisionFailed', { step: 'timer', reason: String(error) });
  });
  const engineCalls = createPauseAwareCalls(platform, backpressure);
  const schedulers = createSchedulers({
    clock: guardedClock,
    log,
    self: { node, cores: settings.cores },
    peers: () => overlay.peers(),
    engines: (service) =>
      fleet.available(service).filter(({ id }) => !roleController.isChanging(id)),
    cacheTokens: (service) => findService(service)?.engine?.cacheTokens ?? 0,
    caches: engineCalls.caches,
    limits: backpressure.limits,
    metrics,
    mechanisms,
  });
  const submitter = createJobSubmitter({
    clock: guardedClock,
    log,
    node,
    zone,
    schedulerOf: schedulers.holderOf,
    local: schedulers.local,
    send: (peer, message) => overlay.send(peer, message),
  });
  const followers = createFollowers(() => ({
    node,
    cores: settings.cores,
    peers: overlay.peers(),
    isConnected: overlay.isConnected(),
  }));
  const peering = createPeering({
    clock,
    log,
    overlay: () => overlay,
    routes,
    fleet,
    submitter,
    scheduler: schedulers.local,
    followers,
    quarantine,
    backpressure,
    streams,
    parseRoutes: (text) => platform.parseRoutes(text),
  });
  const overlay: Overlay = createOverlay({
    clock,
    random,
    log,
    self: {
      node,
      incarnation: randomUUID(),
      address: formatAddress(settings.peers),
      front: formatAddress(settings.callers),
      zone,
      cores: settings.cores,
      recordsOrigins: true,
    },
    status: () => ({
      isReady: isReady(),
      isFollowing: storeHealth.isReachable() && followers.isFollower(),
    }),
    versions: peering.versions,
    digests: () => ({ crashes: quarantine.digest(), notices: backpressure.digest() }),
    digestsReceived(peer, { crashes, notices }) {
      quarantine.digestReceived(peer, crashes);
      backpressure.digestReceived(peer, notices);
    },
    requiredPeers: listSchedulers,
    received: peering.received,
    versionsReceived: peering.versionsReceived,
    lost(peer) {
      peering.lost(peer);
      serverPaths.tunnels.peerLost(peer);
    },
    upgradeRequested: (request, connection, head) =>
      serverPaths.tunnelHost.upgradeRequested(request, connection, head),
  });
  const roleController = createRoleController({
    node,
    clock,
    log,
    lease: createOrderLease({
      node,
      table: platform.table,
      era: () => Math.max(platform.table.era?.() ?? 0, resolveEra(fleet.revision())),
      clock,
      timeOfDay: () => Date.now(),
      log,
      leaseMs: settings.bounds.leaseMs,
    }),
    orders: engineCalls.roleOrders,
    services: ownServices,
    engines: (service) => fleet.available(service),
    decodeLoad: (service) => schedulers.local(service).peakDecodeLoad(),
    roleChangeMs: (service) => findService(service)?.engine?.roleChangeMs ?? 0,
  });
  const relay: RelayParts = {
    clock,
    random,
    log,
    metrics,
    zone,
    protocol: platform.protocol,
    routes,
    fleet,
    health,
    loads,
    callerRetries: createCallerRetries(),
    connections,
    paths,
    budget,
    quarantine,
    backpressure,
    scheduler: submitter,
    streams,
    canFinish: (timeLimitMs) => draining.canFinish(timeLimitMs),
  };
  memory.register('links', overlay.waitingBytes);
  const front = createFront({
    log,
    protocol: platform.protocol,
    arrivals: createArrivals({ clock, log, metrics, ...(parts.loop ?? ownLoop) }),
    admission:
      parts.admission ??
      createAdmission({
        clock,
        random,
        log,
        metrics,
        objectiveMs: () => routes.index()?.leastObjectiveMs,
      }),
    intake: createIntake({
      clock,
      random,
      metrics,
      memory,
      routeLimitMs: (host, path) => routes.index()?.find(host, path)?.timeoutMs,
    }),
    limits: () => routes.index()?.table.limits,
    serve: (request) => serveRequest(relay, request),
  });

  const draining = createDraining({
    clock,
    bounds: () => settings.bounds,
    front: () => front,
    tunnels: () => serverPaths.tunnelHost.carried(),
    directoryTtlMs: resolveDirectoryTtl,
  });

  function findService(service: string): Service | undefined {
    return routes.index()?.table.services.get(service);
  }

  function limitConnections(id: string): number {
    const service = fleet.find(id)?.service ?? '';
    const all = findService(service)?.maxConnections ?? MIN_CONNECTIONS;
    const part = Math.floor((all * CONNECTION_SHARE) / overlay.knownGateways());
    return Math.max(MIN_CONNECTIONS, part);
  }

  function isReady(): boolean {
    return isListening && !draining.isStopping() && routes.version() > 0;
  }

  function* engineServices(): Generator<string> {
    for (const [name, { engine }] of routes.index()?.table.services ?? []) {
      if (engine !== undefined) yield name;
    }
  }

  function ownServices(): string[] {
    return [...engineServices()].filter((name) => schedulers.holderOf(name) === node);
  }

  /** Peers that schedule services, linked before the first request needs them. */
  function listSchedulers(): string[] {
    return [...engineServices()].flatMap((name) => schedulers.preferred(name));
  }

  function resolveDirectoryTtl(): number {
    return settings.bounds.directoryTtlMs * TTL_SHARE;
  }

  function resolveMemoryLimit(): number | undefined {
    return settings.memoryMb === undefined ? undefined : settings.memoryMb * BYTES_PER_MB;
  }

  function recordSettings(): void {
    metrics.settingsSince.reset();
    metrics.settingsSince.set({ fingerprint: settings.fingerprint }, Date.now() / 1_000);
  }

  startFollowing({
    clock,
    random,
    log,
    storeHealth,
    signal: shutdown.signal,
    mayPause: () => followers.mayRelyOnPeers(),
    // the number of followers in a large fleet is small and fixed
    readerCount: () => (followers.isFollower() ? 1 : overlay.peers().length + 1),
    changeMs: settings.bounds.changeMs,
    routesFeed: platform.routes,
    registryFeed: platform.registry,
    routes,
    fleet,
    peering,
  });
  await overlay.listen(settings.peers.host, settings.peers.port);
  overlay.start();
  const status = await startStatus({
    settings,
    log,
    metrics,
    format: platform,
    overlay,
    quarantine,
    memory,
    isReady,
    directoryTtlMs: resolveDirectoryTtl,
  });
  // last, so that no caller waits for what else is started
  await front.listen(settings.callers.host, settings.callers.port);
  isListening = true;
  const address = { node, address: formatAddress(settings.peers) };
  const publishing = publishAddress({
    table: platform.table,
    clock,
    log,
    address,
    signal: shutdown.signal,
    found: (address) => {
      overlay.addAddress(address);
    },
  });
  void publishing.done.then(() => {
    hasReadAddresses = true;
    return banRows.load();
  });
  void versionRows.start();
  void storedOrigins.start();
  platform.onRestored(() => {
    // all gateways have lost their rows at the same time
    clock.after(REWRITE_SPREAD_MS * random.next(), rewriteRows);
  });

  function rewriteRows(): void {
    void publishing.rewrite();
    versionRows.rewrite();
    storedOrigins.rewrite();
    for (const { fingerprint } of quarantine.bans()) banRows.changed(fingerprint);
  }

  void Promise.race([publishing.done, wait(clock, MAX_SEED_DELAY_MS)]).then(addSeeds);
  roleController.start();
  const memoryWatch = watchMemory({
    clock: guardedClock,
    log,
    limitBytes: resolveMemoryLimit,
    holders: () => ({
      ...memory.held(),
      requestCount: front.inFlight(),
      tunnelCount: serverPaths.tunnelHost.carried(),
    }),
    observed({ rss }) {
      metrics.residentMemory.set(rss);
    },
  });
  recordSettings();
  log.write('gatewayStarted', {
    settings: settings.fingerprint,
    zone,
    without: listDisabled(mechanisms),
    callers: formatAddress(settings.callers),
    startMs: Math.round(clock.now()),
  });

  /** Keeps serving until callers have moved to other gateways, then finishes what is in flight. */
  async function stop(askedAt = clock.now()): Promise<void> {
    draining.begin(askedAt);
    log.write('gatewayStopping', {
      inFlight: front.inFlight(),
      graceMs: settings.bounds.graceMs,
    });
    front.startClosing();
    roleController.stop();
    overlay.publish();
    const withdrawn = publishing.withdraw();
    const end = await draining.callersMoved();
    front.stopListening();
    await draining.finished();
    front.endRequests();
    const closed = Promise.all([withdrawn, storedOrigins.flush(), allAnswered()]);
    await Promise.race([closed, wait(clock, draining.closingMs() * FLUSH_SHARE)]);
    log.write('gatewayStopped', { inFlight: front.inFlight(), end });
    shutdown.abort();
    front.close();
    overlay.close();
    serverPaths.close();
    memoryWatch.stop();
    status.close();
    log.flush();
  }

  async function allAnswered(): Promise<void> {
    while (front.inFlight() > 0 && !shutdown.signal.aborted) await wait(clock, ANSWER_POLL_MS);
  }

  function reconfigure(next: GatewaySettings): void {
    Object.assign(settings, next);
    memory.resize(resolveBudgetBytes(resolveMemoryLimit(), ownBytes));
    recordSettings();
    addSeeds();
  }

  function addSeeds(): void {
    for (const seed of settings.seeds) {
      overlay.addAddress(seed, true);
    }
  }

  return { inFlight: () => front.inFlight(), stop, reconfigure };
}

/** Age of a server in ms, by two clocks that may differ; 0 if its start time is unknown. */
function resolveAgeMs({ bornAtMs }: RegisteredServer): number {
  return bornAtMs === undefined ? 0 : Math.max(0, Date.now() - bornAtMs);
}

/** Names of the disabled mechanisms. */
function listDisabled(mechanisms: SchedulingMechanisms): string[] {
  const disabled: string[] = [];
  for (const [name, isEnabled] of Object.entries(mechanisms)) {
    if (!isEnabled) disabled.push(name);
  }
  return disabled;
}
