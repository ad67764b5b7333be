/**
 * The process behind `paths.ts`: forwards connections to servers. It is a process of its own so that it can be
 * stopped with all its connections, which then stay open and silent as behind a partition.
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { randomInt } from 'node:crypto';
import { resolveLoopbackNetwork } from './loopback.js';
import type { PathCommand, PathReport } from './messages.js';

/** Ports below those that systems give to outgoing connections, so that a listener finds its own port free again. */
const FIRST_PORT = 20_000;
/** Ports of one such process. Another one that took a port whose listener is closed during a cut would keep it from being
 * healed. */
const PORTS = 750;
/** The share of the ports that this process has, from 0. */
const share = Number(process.argv[2] ?? 0);
/** Connections that the system accepts for a process that does not run; further ones hang. Enough for the bursts of a
 * gateway while the process runs: one that finds the queue full is tried again by the system after a second only. */
const BACKLOG = 32;
/** Where it listens; the address is that of the run which started it. */
const HOST = `${resolveLoopbackNetwork(process.ppid)}.1`;
/** Time until a taken port is tried again, in ms. */
const RETRY_MS = 20;

interface Forwarder {
  server: Server;
  port: number;
  sockets: Set<Socket>;
}

const forwarders = new Map<string, Forwarder>();

function report(message: PathReport): void {
  process.send?.(message);
}

function join(from: Socket, to: Socket, sockets: Set<Socket>): void {
  sockets.add(from);
  from.pipe(to);
  from.on('error', () => to.resetAndDestroy());
  from.on('close', () => {
    sockets.delete(from);
    to.destroy();
  });
}

function createForwarder(target: string): Forwarder {
  const [host = '', port = ''] = target.split(':');
  const sockets = new Set<Socket>();
  const server = createServer((near) => {
    const far = connect(Number(port), host);
    join(near, far, sockets);
    join(far, near, sockets);
  });
  return { server, port: drawPort(), sockets };
}

/** A port of this process's share that no forwarder has, whether or not it listens now. */
function drawPort(): number {
  const taken = new Set([...forwarders.values()].map(({ port }) => port));
  let port: number;
  do {
    port = FIRST_PORT + share * PORTS + randomInt(PORTS);
  } while (taken.has(port));
  return port;
}

function listen({ server, port }: Forwarder): Promise<boolean> {
  return new Promise((resolve) => {
    server.once('error', () => {
      resolve(false);
    });
    server.listen({ host: HOST, port, backlog: BACKLOG }, () => {
      server.removeAllListeners('error');
      resolve(true);
    });
  });
}

async function open(target: string): Promise<void> {
  for (;;) {
    const forwarder = createForwarder(target);
    if (!(await listen(forwarder))) continue;
    forwarders.set(target, forwarder);
    report({ kind: 'opened', target, address: `${HOST}:${forwarder.port}` });
    return;
  }
}

function refuse(targets: readonly string[], isReset: boolean): void {
  for (const target of targets) {
    const forwarder = forwarders.get(target);
    forwarder?.server.close();
    if (!isReset) continue;
    for (const socket of forwarder?.sockets ?? []) socket.resetAndDestroy();
  }
  report({ kind: 'done' });
}

async function heal(): Promise<void> {
  for (const forwarder of forwarders.values()) {
    while (!forwarder.server.listening && !(await listen(forwarder))) {
      await new Promise((resolve) => {
        setTimeout(resolve, RETRY_MS);
      });
    }
  }
  report({ kind: 'done' });
}

process.on('message', (message) => {
  const command = message as PathCommand;
  if (command.kind === 'open') void open(command.target);
  else if (command.kind === 'refuse') refuse(command.targets, command.isReset);
  else void heal();
});
process.on('disconnect', () => {
  process.exit(0);
});
