/**
 * Processes that a tool starts as a person would start them, signals by their id, and stops in the
 * end. Nothing else is ever signalled.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';

/** A started process. */
export interface Process {
  name: string;
  /** Its process id. */
  pid: number;
  isRunning(): boolean;
  /** Sends it a signal, if it still runs. */
  signal(signal: NodeJS.Signals): void;
  /** Resolves with its exit code, or -1 after a signal, when it has ended. */
  ended: Promise<number>;
  /** Asks it to stop and waits until it has; returns its exit code. */
  stop: () => Promise<number>;
  /** Ends it at once, as a crash would, and waits until it is gone. */
  kill: () => Promise<void>;
}

/** How a process is started. */
export interface ProcessStart {
  name: string;
  /** Arguments after `node`. */
  args: string[];
  environment: Record<string, string>;
  /** A line of standard output that contains this says that the process is ready. */
  readyText: string;
  /** Hears each line of standard output. */
  onLine?: (line: string) => void;
}

const START_TIMEOUT_MS = 20_000;
const KEPT_LINES = 20;
const ENDED_BY_SIGNAL = -1;

/**
 * Starts a process and waits until it is ready; rejects, with its last lines, if it never is.
 *
 * @param start what to start
 */
export async function startProcess(start: ProcessStart): Promise<Process> {
  const child = spawn(process.execPath, start.args, {
    env: { ...process.env, ...start.environment },
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const ended = new Promise<number>((resolve) => {
    child.once('exit', (code) => {
      resolve(code ?? ENDED_BY_SIGNAL);
    });
  });
  const isRunning = () => child.exitCode === null && child.signalCode === null;
  await waitUntilReady(child, start);

  return {
    name: start.name,
    pid: child.pid ?? 0,
    isRunning,
    signal(signal) {
      if (isRunning()) child.kill(signal);
    },
    ended,
    stop() {
      if (isRunning()) child.kill('SIGTERM');
      return ended;
    },
    async kill() {
      if (isRunning()) child.kill('SIGKILL');
      await ended;
    },
  };
}

function waitUntilReady(child: ChildProcess, start: ProcessStart): Promise<void> {
  return new Promise((resolve, reject) => {
    const lines: string[] = [];
    const timer = setTimeout(() => {
      child.kill('SIGKILL');
      reject(new Error(`${start.name} was not ready in time:\n${lines.join('\n')}`));
    }, START_TIMEOUT_MS);
    child.once('exit', (code) => {
      clearTimeout(timer);
      reject(new Error(`${start.name} ended with ${code ?? 'a signal'}:\n${lines.join('\n')}`));
    });
    if (child.stdout === null) return;
    createInterface({ input: child.stdout }).on('line', (line) => {
      lines.push(line);
      if (lines.length > KEPT_LINES) lines.shift();
      start.onLine?.(line);
      if (!line.includes(start.readyText)) return;
      clearTimeout(timer);
      resolve();
    });
  });
}
