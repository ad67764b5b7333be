/**
 * Where a command writes to, and what it reads of its surroundings.
 */
import { wait, type Clock } from '../task/index.js';

/** A command's surroundings. */
export interface Terminal {
  /** Writes one line of the result. */
  print(line: string): void;
  /** Writes one line of complaint or progress. */
  complain(line: string): void;
  environment: Readonly<Record<string, string | undefined>>;
  clock: Clock;
  /** Name of the person at the terminal. */
  user: string;
}

/**
 * Waits between two looks.
 *
 * @param terminal the command's surroundings
 * @param delayMs how long, in milliseconds
 */
export function pause(terminal: Terminal, delayMs: number): Promise<void> {
  return wait(terminal.clock, delayMs);
}
