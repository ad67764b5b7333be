/**
 * The processes of an example: started as a person would start them, and stopped in the end.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';

/** A started process. */
export interface Process {
  name: string;
  /** Asks it to stop and waits until it has; returns its exit code. */
  stop: () => Promise<number>;
}

/** How a process is started. */
export interface ProcessStart {
  name: string;
  /** Arguments after `node`. */
  args: string[];
  environment: Record<string, string>;
  /** A line of standard output that contains this says that the process is ready. */
  readyText: string;
}

const START_TIMEOUT_MS = 20_000;
const KEPT_LINES = 20;

/**
 * Starts a process and waits until it is ready.
 *
 * @param start what to start
 */
export async function startProcess(start: ProcessStart): Promise<Process> {
  const child = spawn(process.execPath, start.args, {
    env: { ...process.env, ...start.environment },
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  await waitUntilReady(child, start);
  return {
    name: start.name,
    async stop() {
      if (child.exitCode !== null) return child.exitCode;
      child.kill('SIGTERM');
      const [code] = (await once(child, 'exit')) as [number | null];
      return code ?? -1;
    },
  };
}

function waitUntilReady(child: ChildProcess, start: ProcessStart): Promise<void> {
  return new Promise((resolve, reject) => {
    const lines: string[] = [];
    const timer = setTimeout(() => {
      child.kill('SIGKILL');
      reject(new Error(`${start.name} was not ready in time`));
    }, START_TIMEOUT_MS);
    child.once('exit', (code) => {
      clearTimeout(timer);
      reject(new Error(`${start.name} ended with ${code ?? 'a signal'}:\n${lines.join('\n')}`));
    });
    if (child.stdout === null) return;
    createInterface({ input: child.stdout }).on('line', (line) => {
      lines.push(line);
      if (lines.length > KEPT_LINES) lines.shift();
      if (!line.includes(start.readyText)) return;
      clearTimeout(timer);
      resolve();
    });
  });
}
