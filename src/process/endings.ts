/**
 * What a process says when it ends. A line at each end that it can still write tells an end by itself from one that came
 * from outside, such as that of a process that held too much memory, which leaves no line.
 */
import type { BoundedLog } from '../events/index.js';

/** The part of a process that ends are observed on. */
export interface ObservedProcess {
  on(event: 'exit', listener: (code: number) => void): unknown;
  on(
    event: 'uncaughtExceptionMonitor',
    listener: (error: unknown, origin: string) => void,
  ): unknown;
}

/** Dependencies of {@link logEndings}. */
export interface EndingsParts {
  /** By default this process. */
  process?: ObservedProcess;
  log: BoundedLog;
  /** Called with each error that nobody caught. */
  errorUncaught: () => void;
  /** Requests in progress. */
  inFlight: () => number;
}

/**
 * Logs each error that nobody catches, with its stack, and the end of the process. It changes neither what Node.js does on
 * such an error nor the exit code.
 *
 * @param parts the process and the log
 */
export function logEndings(parts: EndingsParts): void {
  const { log, process: observed = process } = parts;
  observed.on('uncaughtExceptionMonitor', (error, origin) => {
    parts.errorUncaught();
    log.write('errorUncaught', { origin, ...describeError(error), inFlight: parts.inFlight() });
  });
  observed.on('exit', (code) => {
    log.write('processExited', { code, inFlight: parts.inFlight() });
    log.flush();
  });
}

/** An error as fields of a log line. */
function describeError(error: unknown): { reason: string; stack: string | undefined } {
  return { reason: String(error), stack: error instanceof Error ? error.stack : undefined };
}
