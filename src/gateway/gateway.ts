/**
 * One gateway: a process that callers connect to, made of its parts. What belongs to the platform
 * is handed in.
 */
import { randomUUID } from 'node:crypto';
import type { Server } from 'node:http';
import { createBackpressure, type ServerSignals } from '../backpressure/index.js';
import type { BoundedLog } from '../events/index.js';
import {
  createFleet,
  createFleetHealth,
  type RegisteredServer,
  type RegistryChange,
} from '../fleet/index.js';
import { createSendBudget } from '../limits/send-budget.js';
import type { GatewayMetrics } from '../metrics/index.js';
import { createOverlay, type Overlay } from '../peers/index.js';
import { resolveEra } from '../ports/position.js';
import type { RowFeed } from '../ports/row-feed.js';
import type { TableService } from '../ports/table-service.js';
import {
  createConnections,
  createFront,
  createServerLoads,
  createWaitRecord,
  serveRequest,
  type BackendProtocol,
  type RelayParts,
} from '../relay/index.js';
import { createOrderLease, createRoleKeeper, type RoleOrders } from '../roles/index.js';
import { createRoutingReplica, type RoutingDocument, type Service } from '../routing/index.js';
import {
  allMechanisms,
  createJobSubmitter,
  type CacheInventory,
  type SchedulingMechanisms,
} from '../scheduling/index.js';
import { createGuardedClock, wait, type Clock, type RandomSource } from '../task/index.js';
import { answerBans } from './answer-bans.js';
import { resolveFronts } from './directory.js';
import { createEngineCalls } from './engine-calls.js';
import { createFollowers } from './followers.js';
import { startFollowing } from './following.js';
import { createKeptQuarantine } from './kept-quarantine.js';
import { createPeering } from './peering.js';
import { publishAddress } from './publish-address.js';
import { createSchedulers } from './schedulers.js';
import type { GatewaySettings, ListenAddress } from './settings.js';
import { createStoreWatch } from './store-watch.js';
import { startStatusServer, type StatusAnswer, type StatusHandler } from './status-servers.js';

/** Part of the grace period that is kept for ending, in ms: connections are closed by then, so that
 * the process ends by itself before it is killed. */
const END_RESERVE_MS = 1_200;
/** How long a stopping gateway takes every request, in ms: a request that is sent within three seconds
 * of the signal may be ended with the process, a later one may not. */
const TAKE_ALL_MS = 2_500;
/** The same as a share of the grace period, where that is short. */
const TAKE_ALL_SHARE = 0.3;
/** Time between two looks at whether a stopping gateway has anything left to do, in ms. */
const STOP_LOOK_MS = 50;
/** Part of the directory's longest time that answers may be kept: callers leave a gateway that
 * stops within its grace period. */
const TTL_SHARE = 0.4;
/** Share of a server's connections that all gateways together use. */
const CONNECTION_SHARE = 0.8;
/** Connections to a server that a gateway may have in any case. */
const LEAST_CONNECTIONS = 4;

/** Seeds are dialled once the addresses in the store were read, or after so long, in ms: all gateways are
 * given the same few, which would answer all of a fleet that starts at once. */
const SEEDS_AFTER_MS = 300;

/** Rows that a restored store has lost are written again within this time, in ms: what others need is there within two
 * seconds, and several hundred gateways spread their writes. */
const REWRITE_WITHIN_MS = 1_500;

/** What the platform gives to a gateway. */
export interface GatewayPlatform {
  protocol: BackendProtocol;
  table: TableService;
  /** The listener hears each time that the store is back from an older copy. */
  onRestored: (listener: () => void) => void;
  /** The listener hears what servers ask for in their answers to the platform's own calls. */
  onSignals: (listener: (server: RegisteredServer, signals: ServerSignals) => void) => void;
  routes: RowFeed<RoutingDocument>;
  registry: RowFeed<RegistryChange>;
  roleOrders: RoleOrders;
  caches: CacheInventory;
  /** Decodes routes that a peer passed on; `undefined`, with a log line, when it cannot. */
  parseRoutes(text: string): RoutingDocument | undefined;
  readinessAnswer(isReady: boolean): StatusAnswer;
  /** Availability zone of the caller that asks the directory. */
  readDirectoryZone(url: string): string | undefined;
  directoryAnswer(addresses: readonly string[], ttlMs: number): StatusAnswer;
}

/** What a gateway is made of. */
export interface GatewayParts {
  settings: GatewaySettings;
  platform: GatewayPlatform;
  clock: Clock;
  random: RandomSource;
  log: BoundedLog;
  metrics: GatewayMetrics;
  /** Mechanisms of placing; all where absent. */
  mechanisms?: SchedulingMechanisms;
}

/** A running gateway. */
export interface Gateway {
  /** Takes changed settings over; addresses to listen on stay as they were at the start. */
  reconfigure(settings: GatewaySettings): void;
  /** Finishes what is under way and ends within the grace period. */
  stop(): Promise<void>;
}

/**
 * Starts a gateway.
 *
 * @param parts settings, platform and the process's own means
 */
export async function startGateway(parts: GatewayParts): Promise<Gateway> {
  const { settings, platform, clock, random, log, metrics } = parts;
  const { node, zone } = settings;
  const mechanisms = parts.mechanisms ?? allMechanisms;
  const ending = new AbortController();
  let isLeaving = false;
  let leavingAt = Number.POSITIVE_INFINITY;

  const watch = createStoreWatch(clock, log, {
    lost() {
      fleet.storeLost();
    },
    returned() {
      fleet.storeReturned();
    },
  });
  const health = createFleetHealth(clock, log);
  const connections = createConnections(limitConnections, clock);
  const loads = createServerLoads(clock);
  const backpressure = createBackpressure({
    clock,
    random,
    log,
    metrics,
    node,
    allocatorOf: (server) => schedulers.holderOf(fleet.find(server)?.service ?? ''),
    gateways: () => overlay.peers().length + 1,
    serverLeaving(server) {
      fleet.retire(server, 'the server says that it leaves');
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
      if (isGone) quarantine.serverGone(id, successor !== undefined);
      if (successor !== undefined) connections.breakOff(id, resolveAgeMs(successor));
      connections.drop(id);
      health.forget(id);
      if (isGone) backpressure.forget(id);
      schedulers.forget(id);
    },
    ({ reason }) => {
      metrics.unusableEntries.inc({ reason });
    },
  );
  const routes = createRoutingReplica(log, () => {
    front.refreshLimits();
    metrics.routesSince.reset();
    metrics.routesSince.set({ version: routes.version() }, Date.now() / 1_000);
  });
  const { quarantine, banRows } = createKeptQuarantine({
    clock,
    log,
    metrics,
    node,
    table: platform.table,
    signal: ending.signal,
    coordinatorOf: (service) => schedulers.holderOf(service),
    overlay: () => overlay,
  });
  const budget = createSendBudget(
    clock,
    () => ({
      ratio: settings.bounds.retryRatio,
      allowance: settings.bounds.retryAllowance,
      windowMs: settings.bounds.retryWindowMs,
    }),
    () => overlay.peers().length + 1,
  );
  const guardedClock = createGuardedClock(clock, (error) => {
    log.write('decisionFailed', { step: 'timer', reason: String(error) });
  });
  const engineCalls = createEngineCalls(platform, backpressure);
  const schedulers = createSchedulers({
    clock: guardedClock,
    log,
    self: { node, cores: settings.cores },
    peers: () => overlay.peers(),
    engines: (service) =>
      fleet.available(service).filter(({ id }) => health.isUsable(id) && !keeper.isChanging(id)),
    cacheTokens: (service) => findService(service)?.engine?.cacheTokens ?? 0,
    caches: engineCalls.caches,
    limits: backpressure.limits,
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
    },
    status: () => ({
      isReady: isReady(),
      isFollowing: watch.isReached() && followers.isFollower(),
    }),
    versions: peering.versions,
    digests: () => ({ crashes: quarantine.digest(), notices: backpressure.digest() }),
    digestsReceived(peer, { crashes, notices }) {
      quarantine.digestReceived(peer, crashes);
      backpressure.digestReceived(peer, notices);
    },
    needed: listSchedulers,
    received: peering.received,
    versionsReceived: peering.versionsReceived,
    lost: peering.lost,
  });
  const keeper = createRoleKeeper({
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
    generatingLoad: (service) => schedulers.local(service).peakDecodeLoad(),
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
    waits: createWaitRecord(),
    connections,
    budget,
    quarantine,
    backpressure,
    scheduler: submitter,
    canFinish,
  };
  const front = createFront({
    clock,
    log,
    protocol: platform.protocol,
    limits: () => routes.index()?.table.limits,
    serve: (arrival) => serveRequest(relay, arrival),
  });

  function findService(service: string): Service | undefined {
    return routes.index()?.table.services.get(service);
  }

  function limitConnections(id: string): number {
    const service = fleet.find(id)?.service ?? '';
    const all = findService(service)?.maxConnections ?? LEAST_CONNECTIONS;
    const part = Math.floor((all * CONNECTION_SHARE) / (overlay.peers().length + 1));
    return Math.max(LEAST_CONNECTIONS, part);
  }

  /**
   * A stopping gateway takes everything for a while, since callers learn of it with delay; after that
   * only what ends within its grace period whatever happens.
   */
  function canFinish(timeLimitMs: number): boolean {
    const { graceMs } = settings.bounds;
    const sinceMs = clock.now() - leavingAt;
    if (sinceMs < Math.min(TAKE_ALL_MS, graceMs * TAKE_ALL_SHARE)) return true;
    return sinceMs + timeLimitMs < graceMs - END_RESERVE_MS;
  }

  function isReady(): boolean {
    return !isLeaving && routes.version() > 0;
  }

  function* engineServices(): Generator<string> {
    for (const [name, { engine }] of routes.index()?.table.services ?? []) {
      if (engine !== undefined) yield name;
    }
  }

  function ownServices(): string[] {
    return [...engineServices()].filter((name) => schedulers.holderOf(name) === node);
  }

  /** Links to schedulers are made before the first request needs one. */
  function listSchedulers(): string[] {
    return [...engineServices()].flatMap((name) => schedulers.nearest(name));
  }

  function answerDirectory(url: string): StatusAnswer {
    const own = { address: formatAddress(settings.callers), zone, isReady: isReady() };
    const addresses = resolveFronts(own, overlay.peers(), platform.readDirectoryZone(url));
    return platform.directoryAnswer(addresses, settings.bounds.directoryTtlMs * TTL_SHARE);
  }

  function startStatusServers(): Promise<Server[]> {
    const pending = [
      startStatusServer(settings.readiness, () => platform.readinessAnswer(isReady())),
      startStatusServer(
        settings.metrics,
        (request) => answerBans(quarantine, request) ?? renderMetrics(request),
      ),
    ];
    if (settings.directory !== undefined) {
      pending.push(startStatusServer(settings.directory, ({ url = '' }) => answerDirectory(url)));
    }
    return Promise.all(pending);
  }

  const renderMetrics: StatusHandler = async () => {
    metrics.peers.set(overlay.peers().length);
    metrics.banned.set(quarantine.bans().length);
    const { contentType } = metrics.registry;
    return { status: 200, contentType, body: await metrics.registry.metrics() };
  };

  function noteSettings(): void {
    metrics.settingsSince.reset();
    metrics.settingsSince.set({ fingerprint: settings.fingerprint }, Date.now() / 1_000);
  }

  startFollowing({
    clock,
    random,
    log,
    watch,
    signal: ending.signal,
    mayRest: () => followers.mayRely(),
    // those that follow for all others are few, whatever the size
    asking: () => (followers.isFollower() ? 1 : overlay.peers().length + 1),
    changeMs: settings.bounds.changeMs,
    routesFeed: platform.routes,
    registryFeed: platform.registry,
    routes,
    fleet,
    peering,
  });
  await overlay.listen(settings.peers.host, settings.peers.port);
  overlay.start();
  await front.listen(settings.callers.host, settings.callers.port);
  const statusServers = await startStatusServers();
  const address = { node, address: formatAddress(settings.peers) };
  const publishing = publishAddress({
    table: platform.table,
    clock,
    log,
    address,
    signal: ending.signal,
    found: (address) => {
      overlay.learn(address);
    },
  });
  void publishing.done.then(banRows.load);
  platform.onRestored(() => {
    // all gateways have lost theirs at one moment
    clock.after(REWRITE_WITHIN_MS * random.next(), rewriteRows);
  });

  function rewriteRows(): void {
    void publishing.renew();
    for (const { fingerprint } of quarantine.bans()) banRows.changed(fingerprint);
  }

  void Promise.race([publishing.done, wait(clock, SEEDS_AFTER_MS)]).then(learnSeeds);
  keeper.start();
  noteSettings();
  log.write('gatewayStarted', {
    settings: settings.fingerprint,
    zone,
    without: listOff(mechanisms),
    callers: formatAddress(settings.callers),
    startMs: Math.round(clock.now()),
  });

  /** Serves on while callers still know this gateway's address, then finishes what is left. */
  async function stop(): Promise<void> {
    const startedAt = clock.now();
    const { bounds } = settings;
    const endAt = startedAt + bounds.graceMs - END_RESERVE_MS;
    isLeaving = true;
    leavingAt = startedAt;
    log.write('gatewayStopping', { inFlight: front.inFlight(), graceMs: bounds.graceMs });
    front.startClosing();
    keeper.stop();
    overlay.publish();
    await publishing.withdraw();
    while (clock.now() < endAt) {
      await wait(clock, STOP_LOOK_MS);
    }
    front.stopListening();
    const killAt = startedAt + bounds.graceMs - END_RESERVE_MS / 2;
    while (front.inFlight() > 0 && clock.now() < killAt) {
      await wait(clock, STOP_LOOK_MS);
    }
    log.write('gatewayStopped', { inFlight: front.inFlight() });
    ending.abort();
    front.close();
    overlay.close();
    connections.close();
    for (const server of statusServers) {
      server.close();
      server.closeAllConnections();
    }
    log.flush();
  }

  function reconfigure(next: GatewaySettings): void {
    Object.assign(settings, next);
    noteSettings();
    learnSeeds();
  }

  function learnSeeds(): void {
    for (const seed of settings.seeds) {
      overlay.learn(seed, true);
    }
  }

  return { stop, reconfigure };
}

/** How long ago a server started, by its clock and this gateway's, which may differ; 0 where neither says. */
function resolveAgeMs({ bornAtMs }: RegisteredServer): number {
  return bornAtMs === undefined ? 0 : Math.max(0, Date.now() - bornAtMs);
}

/** Names of the mechanisms that are switched off. */
function listOff(mechanisms: SchedulingMechanisms): string[] {
  const off: string[] = [];
  for (const [name, isOn] of Object.entries(mechanisms)) {
    if (!isOn) off.push(name);
  }
  return off;
}

function formatAddress({ host, port }: ListenAddress): string {
  return `${host}:${port}`;
}
