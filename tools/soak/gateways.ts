/**
 * Gateways as processes of their own, each at a loopback address of its own. Signals go only to
 * processes that were started here, by their ids.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, mkdirSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { resolveLoopbackNetwork } from '../../stand-ins/network/index.js';
import { retryBound } from './retries.js';

const NETWORK = resolveLoopbackNetwork(process.pid);
const FIRST_HOST = 10;
const FRONT_PORT = 18_144;
const READINESS_PORT = 18_140;
const DIRECTORY_PORT = 18_143;
const PEER_PORT = 18_146;
/** Grace period that the gateways are told, in seconds: short, so that a run sees several stops. */
const GRACE_S = 2;

/** Signals that tell a gateway to stop. */
const STOPS: ReadonlySet<NodeJS.Signals> = new Set(['SIGTERM', 'SIGINT', 'SIGQUIT']);

/** One gateway process, over all its restarts. */
export interface GatewayProcess {
  readonly node: string;
  readonly host: string;
  readonly frontPort: number;
  readonly readinessPort: number;
  /** Disturbed since this moment or before, in ms of the steady clock; it discounts its callers. */
  disturbedUntil: number;
  /** Starts it if it does not run; its settings are there, whole, unless they come late. */
  start(): void;
  /** Starts it anew with settings of which only a part is there, or nothing, until they come. */
  startWithout(share: number, lateMs: number): Promise<void>;
  signal(name: NodeJS.Signals): void;
  isRunning(): boolean;
  /** Whether it was told to stop and has not ended yet. */
  isStopping(): boolean;
  /** Ends that no kill explains, and of which the process could have known. */
  unexplainedEnds(): readonly string[];
  /** Kills it and waits for its end. */
  end(): Promise<void>;
}

/**
 * Prepares a gateway.
 *
 * @param index its number; gives its name and address
 * @param store `host:port` of the store as this gateway reaches it
 * @param folder where settings and logs go
 * @param program the gateway's program
 */
export function createGatewayProcess(
  index: number,
  store: string,
  folder: string,
  program: string,
): GatewayProcess {
  const node = `node-${index}`;
  const host = `${NETWORK}.${FIRST_HOST + index}`;
  const path = join(folder, `${node}.conf`);
  mkdirSync(folder, { recursive: true });
  const settings = renderSettings(node, host, store);
  writeFileSync(path, settings);
  let child: ChildProcess | undefined;
  /** What was told to stop last. */
  let stopping: ChildProcess | undefined;
  /** Settings are being left out. */
  let isLate = false;
  const unexplained: string[] = [];

  function launch(): void {
    if (child !== undefined) return;
    const log = createWriteStream(join(folder, `${node}.log`), { flags: 'a' });
    const started = spawn(process.execPath, [program, '--settings', path], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let hasSpoken = false;
    started.stdout.once('data', () => (hasSpoken = true));
    started.stdout.pipe(log, { end: false });
    started.stderr.pipe(log, { end: false });
    started.on('exit', (code, signal) => {
      if (child === started) child = undefined;
      // before it has written anything, no program of ours may have run yet
      const isExplained = code === 0 || signal === 'SIGKILL' || (signal !== null && !hasSpoken);
      if (!isExplained) unexplained.push(`${node} ended with ${signal ?? `code ${code}`}`);
    });
    child = started;
  }

  function end(): Promise<void> {
    const ending = child;
    if (ending === undefined) return Promise.resolve();
    return new Promise((resolve) => {
      ending.on('exit', () => {
        resolve();
      });
      ending.kill('SIGCONT');
      ending.kill('SIGKILL');
    });
  }

  return {
    node,
    host,
    frontPort: FRONT_PORT,
    readinessPort: READINESS_PORT,
    disturbedUntil: 0,
    start() {
      if (!isLate) launch();
    },
    async startWithout(share, lateMs) {
      if (isLate) return;
      isLate = true;
      await end();
      if (share === 0) rmSync(path);
      else writeFileSync(path, settings.slice(0, settings.length * share));
      launch();
      await new Promise((resolve) => {
        setTimeout(resolve, lateMs);
      });
      writeFileSync(path, settings);
      isLate = false;
    },
    signal(name) {
      if (STOPS.has(name)) stopping = child;
      child?.kill(name);
    },
    isRunning: () => child !== undefined,
    isStopping: () => child !== undefined && child === stopping,
    unexplainedEnds: () => unexplained,
    end,
  };
}

function renderSettings(node: string, host: string, store: string): string {
  return [
    `node=${node}`,
    'zone=zone-a',
    `ip=${host}`,
    'limits.cpuShare=1',
    'limits.cpuCores=1',
    `listen.front=${host}:${FRONT_PORT}`,
    `listen.readiness=${host}:${READINESS_PORT}`,
    `listen.directory=${host}:${DIRECTORY_PORT}`,
    `listen.control=${host}:${PEER_PORT}`,
    `seeds=${NETWORK}.${FIRST_HOST}:${PEER_PORT}`,
    `provider.address=${store}`,
    `bounds.graceS=${GRACE_S}`,
    'bounds.leaseMs=3000',
    `bounds.retryBudgetRatio=${retryBound.ratio}`,
    `bounds.retrySlack=${retryBound.allowance}`,
    `bounds.budgetWindowS=${retryBound.windowMs / 1_000}`,
    'bounds.ttl_max_s=5',
  ].join('\n');
}
