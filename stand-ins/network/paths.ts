/**
 * The network paths from one gateway to the backend servers, which tests cut and heal while other gateways reach the
 * same servers.
 */
import { fork, type ChildProcess } from 'node:child_process';
import { connect, type Socket } from 'node:net';
import { fileURLToPath } from 'node:url';
import type { PathCommand, PathReport } from './messages.js';

/** Connections that fill the queue of a stopped listener, so that further ones hang; more than it holds. */
const FILLING = 40;

/** Shares into which the ports of paths are divided. */
const PORT_SHARES = 16;
/** Paths that were started by this process. */
let started = 0;

/** How paths are cut: without any sign, with resets, or so that only new connections are refused. */
export type PathCut = 'silent' | 'reset' | 'refused';

/** The paths of one gateway. */
export interface Paths {
  /** Opens a path to a server; returns the address at which the gateway reaches it. */
  open(address: string): Promise<string>;
  /** The address at which the gateway reaches a server; its own where no path was opened. */
  addressOf: (address: string) => string;
  /**
   * Cuts paths.
   *
   * @param how how connections show it
   * @param addresses the servers' addresses; a silent cut always concerns all
   */
  cut(how: PathCut, addresses?: readonly string[]): Promise<void>;
  heal(): Promise<void>;
  close(): void;
}

/** Starts the process that forwards. */
export function startPaths(): Paths {
  const program = fileURLToPath(new URL('path-process.js', import.meta.url));
  const child = fork(program, [String(started % PORT_SHARES)], { stdio: 'ignore' });
  started += 1;
  const addresses = new Map<string, string>();
  const filling = new Set<Socket>();

  /** Commands are answered one after another; a stopped process answers once it goes on. */
  let last: Promise<unknown> = Promise.resolve();

  function command(message: PathCommand): Promise<PathReport> {
    const report = last.then(() => {
      const answered = waitForReport(child);
      child.send(message);
      return answered;
    });
    last = report;
    return report;
  }

  function stop(): void {
    child.kill('SIGSTOP');
    for (const address of addresses.values()) {
      for (let count = 0; count < FILLING; count += 1) fill(address);
    }
  }

  function fill(address: string): void {
    const [host = '', port = ''] = address.split(':');
    const socket = connect(Number(port), host);
    socket.on('error', () => undefined);
    filling.add(socket);
  }

  function drain(): void {
    for (const socket of filling) socket.destroy();
    filling.clear();
  }

  return {
    async open(address) {
      const report = await command({ kind: 'open', target: address });
      if (report.kind === 'opened') addresses.set(address, report.address);
      return addresses.get(address) ?? address;
    },
    addressOf: (address) => addresses.get(address) ?? address,
    async cut(how, targets = [...addresses.keys()]) {
      if (how === 'silent') stop();
      else await command({ kind: 'refuse', targets, isReset: how === 'reset' });
    },
    async heal() {
      drain();
      child.kill('SIGCONT');
      await command({ kind: 'heal' });
    },
    close() {
      drain();
      child.kill('SIGKILL');
    },
  };
}

function waitForReport(child: ChildProcess): Promise<PathReport> {
  return new Promise((resolve) => {
    child.once('message', (message) => {
      resolve(message as PathReport);
    });
  });
}
