/**
 * Carries out what a scenario does.
 */
import { match } from 'ts-pattern';
import { listNodes, resolvePlatform, waitUntil, zoneOf, type Process } from '../common/index.js';
import { askEverywhere, askEverywhereAgain, askOtherBody } from './keyed-calls.js';
import { countRecords } from './judge.js';
import { competeForLabel, labelVm, loadAdapter, operate, watchEveryNode } from './operators.js';
import { readRecords } from './records.js';
import { noteLeaving, type Stage } from './stage.js';
import type { Action, CutSide, EngineMischief, NodeReference } from './steps.js';

const READY_TIMEOUT_MS = 20_000;
/** Engines load one adapter after the other at the pace of the weight store, several seconds each. */
const ORDERS_TIMEOUT_MS = 60_000;
/** No request of a scenario takes longer than this after a node was asked to stop. */
const STOP_TIMEOUT_MS = 40_000;
const LATE_MS = 400;
const BREAK_AFTER_TOKENS = 5;
const CROSSED_CHUNKS = 3;

/**
 * Carries out one action; resolves when it is over.
 *
 * @param stage the running scenario
 * @param action what to do
 */
export function act(stage: Stage, action: Action): Promise<void> {
  return match(action)
    .returnType<Promise<void>>()
    .with({ kind: 'start-load' }, ({ perSecond }) => {
      stage.load.start(perSecond);
      return Promise.resolve();
    })
    .with({ kind: 'stop-load' }, () => stage.load.stop())
    .with({ kind: 'wait' }, ({ ms }) => sleep(ms))
    .with({ kind: 'wait-for-orders' }, ({ count }) => waitForOrders(stage, count))
    .with({ kind: 'kill-node' }, async ({ node }) => {
      await kill(await resolveNode(stage, node));
    })
    .with({ kind: 'kill-every-node' }, () => killEveryNode(stage))
    .with({ kind: 'start-killed-nodes' }, () => startKilledNodes(stage))
    .with({ kind: 'stop-node' }, async ({ node }) => {
      await stopNode(stage, await resolveNode(stage, node));
    })
    .with({ kind: 'pause-node' }, async ({ node, ms }) => {
      await pause(await resolveNode(stage, node), ms);
    })
    .with({ kind: 'begin-pause' }, async ({ node }) => {
      const process = await resolveNode(stage, node);
      process.signal('SIGSTOP');
      stage.paused.push(process);
    })
    .with({ kind: 'resume-paused-nodes' }, () => {
      for (const process of stage.paused.splice(0)) process.signal('SIGCONT');
      return Promise.resolve();
    })
    .with({ kind: 'replace-every-node' }, () => replaceEveryNode(stage))
    .with({ kind: 'cut' }, async ({ node, side, ms }) => {
      await cut(stage, await resolveNode(stage, node), side, ms);
    })
    .with({ kind: 'table-down' }, ({ ms }) => breakTable(stage, { kind: 'unavailable' }, ms))
    .with({ kind: 'table-goes-down' }, () => setTableFault(stage, { kind: 'unavailable' }))
    .with({ kind: 'table-comes-back' }, () => setTableFault(stage, { kind: 'none' }))
    .with({ kind: 'table-hangs' }, ({ ms }) => pause(stage.cluster.table(), ms))
    .with({ kind: 'table-slow' }, ({ byMs, ms }) => {
      return breakTable(stage, { kind: 'delay', ms: byMs }, ms);
    })
    .with({ kind: 'table-loses' }, ({ answers }) => {
      const path = '/v1/transactions';
      return setTableFault(stage, { kind: 'drop-answer', path, count: answers });
    })
    .with({ kind: 'drain' }, async ({ server }) => {
      await operate(stage, `/v1/vms/${server}/drain`, {});
      noteLeaving(stage, server);
    })
    .with({ kind: 'undrain' }, async ({ server }) => {
      await operate(stage, `/v1/vms/${server}/undrain`, {});
    })
    .with({ kind: 'label' }, async ({ server, label }) => {
      await labelVm(stage, server, label);
      noteLeaving(stage, server);
    })
    .with({ kind: 'two-operators' }, ({ server, first, second }) => {
      return competeForLabel(stage, server, first, second);
    })
    .with({ kind: 'load-adapter' }, ({ adapter }) => loadAdapter(stage, adapter))
    .with({ kind: 'crash-engine' }, ({ engine, ms }) => {
      // The crash breaks the connection that asks for it too.
      return setFault(stage, engine, { kind: 'crash', downMs: ms }).catch(() => undefined);
    })
    .with({ kind: 'engine-answers' }, ({ engine, how, count }) => {
      return setFault(stage, engine, createMischief(how, count));
    })
    .with({ kind: 'service-loses' }, ({ service, answers }) => {
      return setFault(stage, service, { kind: 'drop-answer', path: '/', count: answers });
    })
    .with({ kind: 'server-says-leave' }, async ({ server }) => {
      await stage.cluster.control(stage.cluster.originOf(server), 'POST', '/-/leave');
      noteLeaving(stage, server);
    })
    .with({ kind: 'list-says-leave' }, async ({ server }) => {
      stage.vms = stage.vms.map((vm) => (vm.id === server ? { ...vm, state: 'leaving' } : vm));
      await publishVms(stage);
      noteLeaving(stage, server, stage.cluster.plan.vmListLagMs);
    })
    .with({ kind: 'lose-zone' }, ({ zone }) => loseZone(stage, zone))
    .with({ kind: 'watch' }, () => watchEveryNode(stage))
    .with({ kind: 'same-key' }, () => askEverywhere(stage))
    .with({ kind: 'same-key-again' }, () => askEverywhereAgain(stage))
    .with({ kind: 'other-body' }, () => askOtherBody(stage))
    .exhaustive();
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function findNode(stage: Stage, node: string): Process {
  const found = stage.cluster.findNode(node);
  if (found === undefined) throw new Error(`there is no node ${node}`);
  return found;
}

/** Waits until the engines have taken so many orders. */
async function waitForOrders(stage: Stage, count: number): Promise<void> {
  await waitUntil(`${count} orders`, ORDERS_TIMEOUT_MS, async () => {
    const { roleChanges } = countRecords(await readRecords(stage.cluster));
    return roleChanges >= count;
  });
}

/** Finds a node's process; a holder is the one that the running nodes speak of. */
async function resolveNode(stage: Stage, reference: NodeReference): Promise<Process> {
  if ('node' in reference) return findNode(stage, reference.node);
  for (const node of stage.cluster.running()) {
    const status = await stage.cluster.status(node);
    for (const { holder, servers } of status?.shards ?? []) {
      if (servers.some(({ id }) => id === reference.holderOf)) return findNode(stage, holder);
    }
  }
  throw new Error(`nobody holds ${reference.holderOf}`);
}

async function killEveryNode(stage: Stage): Promise<void> {
  const nodes = stage.cluster.running();
  await Promise.all(nodes.map((node) => kill(findNode(stage, node))));
}

async function startKilledNodes(stage: Stage): Promise<void> {
  const running = stage.cluster.running();
  const ended = listNodes(stage.cluster.plan).filter((node) => !running.includes(node));
  await Promise.all(ended.map((node) => startNode(stage, node)));
}

async function kill(process: Process): Promise<void> {
  process.signal('SIGKILL');
  await process.ended;
}

async function pause(process: Process, ms: number): Promise<void> {
  process.signal('SIGSTOP');
  await sleep(ms);
  process.signal('SIGCONT');
}

async function startNode(stage: Stage, node: string): Promise<void> {
  await stage.cluster.startNode(node);
}

async function stopNode(stage: Stage, node: Process): Promise<void> {
  const late = sleep(STOP_TIMEOUT_MS).then(() => 'late' as const);
  const code = await Promise.race([node.stop(), late]);
  if (code !== 0) stage.found.push(`${node.name} ended with ${code}`);
}

async function replaceEveryNode(stage: Stage): Promise<void> {
  for (const node of stage.cluster.running()) {
    await stopNode(stage, findNode(stage, node));
    await startNode(stage, node);
    await waitUntil(`${node} ready`, READY_TIMEOUT_MS, async () => {
      const status = await stage.cluster.status(node);
      return status?.ready === true && status.lease.held;
    });
  }
}

async function cut(stage: Stage, node: Process, side: CutSide, ms: number): Promise<void> {
  if (stage.network === undefined) throw new Error('the scenario runs without relays');
  stage.network.cut(node.name, side, node.pid);
  await sleep(ms);
  stage.network.restore(node.name, side);
}

async function breakTable(stage: Stage, fault: object, ms: number): Promise<void> {
  await setTableFault(stage, fault);
  await sleep(ms);
  await setTableFault(stage, { kind: 'none' });
}

async function setTableFault(stage: Stage, fault: object): Promise<void> {
  const { tableService } = resolvePlatform(stage.cluster.plan);
  await stage.cluster.control(tableService, 'POST', '/-/faults', fault);
}

async function setFault(stage: Stage, server: string, fault: object): Promise<void> {
  await stage.cluster.control(stage.cluster.originOf(server), 'POST', '/-/faults', fault);
}

function createMischief(how: EngineMischief, count: number): object {
  const common = { path: '/v1/completions', count };
  return match(how)
    .with('crossed', () => {
      return { ...common, kind: 'wrong-request-id', chunks: CROSSED_CHUNKS, mode: 'inject' };
    })
    .with('twice', () => ({ ...common, kind: 'duplicate-chunk', chunks: CROSSED_CHUNKS }))
    .with('late', () => ({ ...common, kind: 'delay', ms: LATE_MS }))
    .with('broken', () => {
      return { ...common, kind: 'break-mid-stream', afterTokens: BREAK_AFTER_TOKENS };
    })
    .with('stalled', () => ({ ...common, kind: 'stall', afterTokens: BREAK_AFTER_TOKENS }))
    .exhaustive();
}

async function publishVms(stage: Stage): Promise<void> {
  const { vmList } = resolvePlatform(stage.cluster.plan);
  await stage.cluster.control(vmList, 'POST', '/-/vms', { vms: stage.vms });
}

/** Nodes of the zone die; its backend servers stand still, as behind a network that is gone. */
async function loseZone(stage: Stage, zone: string): Promise<void> {
  const { cluster } = stage;
  cluster.servers(zone).signal('SIGSTOP');
  stage.lostZones.push(zone);
  for (const node of cluster.running()) {
    if (zoneOf(cluster.plan, node) === zone) await kill(findNode(stage, node));
  }
  stage.vms = stage.vms.filter((vm) => vm.zone !== zone);
  await publishVms(stage);
}
