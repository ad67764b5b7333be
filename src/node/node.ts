/**
 * One node, made of its tasks. Every entry VM runs one; all are alike.
 */
import type { Readiness } from '../caller/index.js';
import { createConfigurationReplica, createConfigurationWriter } from '../configuration/index.js';
import { createLog, type Log } from '../events/index.js';
import { createLeaseMonitor, createNodeLease } from '../lease/index.js';
import { createMembership } from '../membership/index.js';
import { createMetrics } from '../metrics/index.js';
import { createOperatorFront, type NodeStatus } from '../operator/index.js';
import { createFormerHolders } from '../orders/index.js';
import { createBackends, createRequestStatuses, createPlacesInUse } from '../router/index.js';
import type { Certificate, Settings } from '../settings/index.js';
import { createOwnership, resolveShards, type Shard } from '../shards/index.js';
import { wait } from '../task/index.js';
import { createSystemEnvironment, type NodeEnvironment } from './environment.js';
import { createFronts } from './fronts.js';
import { createHeldShards } from './held-shards.js';
import { createOrdersFactory } from './orders.js';
import { createPeerMessages } from './peer-messages.js';
import { createPeerQuestions } from './peer-questions.js';
import { createPlacing } from './placing.js';
import { ADOPT_EVERY_MS } from './places-telling.js';
import { createServing } from './serving.js';

const OWNERSHIP_EVERY_MS = 250;
const DRAIN_POLL_MS = 50;

/** Secrets of a node, as read from where the settings say. */
export interface Secrets {
  peerKey: string;
  operatorToken: string;
  /** What encrypts the fronts and the links; plain where absent. */
  certificates?: Certificates;
}

/** Certificates of a node, by what they are for. */
export type Certificates = Partial<Record<keyof Settings['tls'], Certificate>>;

/** Addresses that a node listens on. */
export interface NodeAddresses {
  caller: string;
  operator: string;
  peer: string;
}

/** A node. */
export interface Node {
  /** Starts every task; rejects when an address is taken. */
  start(): Promise<NodeAddresses>;
  /** Graceful shutdown: no request is cut. */
  stop(): Promise<void>;
}

/**
 * Creates a node.
 *
 * @param settings the node's settings
 * @param secrets the keys it shares with its peers and operators
 * @param log where its events go
 * @param environment time, chance, the network and the platform
 */
export function createNode(
  settings: Settings,
  secrets: Secrets,
  log: Log = createLog(settings.node, settings.log.level),
  environment: NodeEnvironment = createSystemEnvironment(),
): Node {
  const { node, zone } = settings;
  const { clock, random, createId } = environment;
  const incarnation = createId();
  const metrics = createMetrics();
  const platform = environment.createPlatform(settings.platform, metrics);
  const { advertise } = settings;
  const addresses: NodeAddresses = {
    caller: advertise.caller ?? settings.listen.caller,
    operator: advertise.operator ?? settings.listen.operator,
    peer: advertise.peer ?? settings.listen.peer,
  };
  const fronts = createFronts({
    node,
    settings,
    certificates: secrets.certificates ?? {},
    listen: environment.listen,
  });
  let shards: Shard[] = [];
  let leaving = false;
  let refusing = false;
  let inFlight = 0;

  const inUse = createPlacesInUse();
  const requestStatuses = createRequestStatuses(clock, settings.requests.fateKeptMs);
  const backends = createBackends(environment);

  const questions = createPeerQuestions(() => links);
  const messages = createPeerMessages({
    node,
    incarnation,
    log,
    membership: () => membership,
    held: () => held,
    replica: () => replica,
    limitHome: () => serving.limitHome,
    requestStatuses,
  });

  const links = environment.createLinks({
    node,
    key: secrets.peerKey,
    listen: settings.listen.peer,
    certificate: secrets.certificates?.peer,
    clock,
    log,
    metrics,
    addressOf: (peer) => membership.find(peer)?.peer,
    isKept: (peer) => membership.isPartner(peer),
    opened: (peer) => {
      membership.opened(peer);
    },
    noticeReceived: messages.noticeReceived,
    queryReceived: messages.queryReceived,
  });

  const replica = createConfigurationReplica({
    table: platform.table('configuration'),
    clock,
    random,
    log,
    metrics,
    terms: settings.configuration,
    fetch: questions.fetchChanges,
    push: (changes) => {
      membership.broadcast({ kind: 'configuration.push', changes });
    },
    onChange: () => {
      membership.announce();
    },
  });
  const writer = createConfigurationWriter({
    table: platform.table('configuration'),
    clock,
    replica,
    random,
    log,
    metrics,
    node,
  });

  const membership = createMembership({
    node,
    terms: settings.membership,
    seeds: settings.peers,
    links,
    vmList: platform.vmList,
    clock,
    log,
    ownState: () => ({
      node,
      incarnation,
      zone,
      ...addresses,
      leaving,
      configurationVersion: replica.current().version,
      inFlight,
    }),
    ownShards: () => held.summaries(),
    versionReceived: (version) => {
      replica.versionReceived(version);
    },
    shardSummariesReceived: (summaries) => {
      for (const summary of summaries) {
        ownership.shardSummaryReceived(summary);
      }
    },
    listed: (vms) => {
      shards = resolveShards(vms, settings.shards);
      held.update(shards);
      formers.updateVmList(vms);
    },
  });

  const lease = createNodeLease({
    table: platform.table('lease'),
    clock,
    log,
    terms: settings.lease,
    node,
    incarnation,
    // The address that was really bound: that no other process can listen there is relied on.
    get peer() {
      return links.address();
    },
    createId,
    acquired: () => undefined,
    lost: () => {
      ownership.loseAll();
    },
  });

  const leaseMonitor = createLeaseMonitor({
    table: platform.table('lease'),
    clock,
    log,
    terms: settings.lease,
    node,
    aliveNodes: () => membership.aliveNames(),
    suspectedHolders: () => ownership.suspectedHolders(),
    lapsed: (row) => {
      if (!membership.isAlive(row.holder.node)) held.forgetNode(row.holder.node);
    },
  });

  const ownership = createOwnership({
    table: platform.table('shards'),
    clock,
    log,
    node,
    intervalMs: OWNERSHIP_EVERY_MS,
    summaryTtlMs: settings.membership.suspectAfterMs,
    shards: () => shards,
    aliveNodes: () => membership.aliveNames(),
    zonedNodes: () => membership.alive(),
    leaseHolder: () => lease.holder(),
    isLeaseValid: () => lease.isValid(),
    readNodeRow: (name) => leaseMonitor.read(name),
    taken: (taken, former) => {
      if (former?.released === true) formers.releaseReceived(former.holder);
      const shard = shards.find(({ name }) => name === taken.name);
      if (shard !== undefined) held.begin(taken, shard);
    },
    lost: (lost) => {
      held.end(lost.name);
    },
  });

  const formers = createFormerHolders({
    clock,
    incarnation,
    listLagMs: settings.orders.listLagMs,
    vmList: platform.vmList,
    readNodeRow: (name) => leaseMonitor.read(name),
    ordersSettled: (engine) => replica.current().vms.get(engine)?.ordersSettled ?? 0,
  });

  const held = createHeldShards({
    node,
    clock,
    metrics,
    backends,
    replica,
    maxQueue: settings.requests.maxQueue,
    watchEveryMs: settings.shards.watchEveryMs,
    decisions: settings.decisions,
    createId,
    isLeaseValid: () => lease.isValid(),
    createOrders: createOrdersFactory({
      node,
      clock,
      log,
      metrics,
      backends,
      replica,
      table: platform.table('orders'),
      weightStore: platform.weightStore,
      formers,
      settings,
      adoptEveryMs: ADOPT_EVERY_MS,
      createId,
      isLeaseValid: () => lease.isValid(),
    }),
    opened: () => {
      membership.announce();
    },
  });

  const placing = createPlacing({
    node,
    incarnation,
    placement: settings.decisions.placement,
    clock,
    random,
    log,
    metrics,
    links,
    inUse,
    backends,
    createId,
    replica,
    membership,
    ownership,
    held,
    shards: () => shards,
  });

  const serving = createServing({
    node,
    incarnation,
    settings,
    environment,
    platform,
    log,
    metrics,
    placement: placing.placement,
    backends,
    replica,
    membership,
    leaseMonitor,
    questions,
    requestStatuses,
    readiness,
    track: (change) => {
      inFlight += change;
      metrics.inFlight.set(inFlight);
    },
  });

  const operatorFront = createOperatorFront({
    token: secrets.operatorToken,
    metrics,
    replica,
    writer,
    status,
    vms: () => [...membership.vms()],
    log,
  });

  function readiness(): Readiness {
    if (refusing) return 'leaving';
    return replica.isFresh() ? 'ready' : 'configuration-stale';
  }

  function status(): NodeStatus {
    const summaries = held.summaries();
    for (const shard of shards) {
      const known = ownership.holderOf(shard.name);
      if (held.find(shard.name) === undefined && known !== undefined) summaries.push(known.summary);
    }
    const validForMs = lease.validForMs();
    return {
      node: membership.own(),
      nodes: membership.alive(),
      shards: summaries,
      lease: { held: validForMs > 0, validForMs },
      configurationVersion: replica.current().version,
      ready: readiness() === 'ready' && !leaving,
      leaving,
    };
  }

  /** An empty table is no fault: a first configuration may still be applied. */
  function reportTable(): void {
    if (replica.isFresh()) return;
    const { tableService } = settings.platform;
    const advice = 'check that it runs and that platform.tableService is its address; trying on';
    log.write('tableUnreachable', { tableService, advice });
  }

  async function waitForRequests(): Promise<void> {
    const until = clock.now() + settings.shutdown.graceMs;
    while (inFlight > 0) {
      if (clock.now() >= until) {
        log.write('graceExceeded', { inFlight });
        return;
      }
      await wait(clock, DRAIN_POLL_MS);
    }
  }

  return {
    async start() {
      try {
        await links.listen();
        addresses.peer = advertise.peer ?? links.address();
        const opened = await fronts.open({ caller: serving.callerFront, operator: operatorFront });
        addresses.caller = advertise.caller ?? opened.caller;
        addresses.operator = advertise.operator ?? opened.operator;
      } catch (error) {
        // A listener left open would keep the process alive.
        await fronts.close();
        await links.close();
        throw error;
      }
      lease.start();
      await membership.start();
      await replica.start();
      reportTable();
      await leaseMonitor.start();
      serving.start();
      ownership.start();
      placing.start();
      log.write('nodeStarted', { zone, incarnation, ...addresses });
      return addresses;
    },
    async stop() {
      log.write('nodeStopping', { inFlight });
      leaving = true;
      membership.announce();
      await wait(clock, settings.membership.entryPointsKeptMs);
      refusing = true;
      await waitForRequests();
      // Before the lease is given back: then others take unsettled claims for unknown.
      await serving.stop();
      held.stopOrders();
      await formers.waitForSends();
      await ownership.release();
      await lease.release();
      leaseMonitor.stop();
      replica.stop();
      membership.announce();
      membership.stop();
      placing.stop();
      serving.close();
      await fronts.close();
      await links.close();
      log.write('nodeStopped', {});
    },
  };
}
