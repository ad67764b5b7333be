#!/usr/bin/env node
/**
 * The `reedtally` program.
 */
import { userInfo } from 'node:os';
import { createSystemClock } from '../task/index.js';
import { runCommandLine } from './run.js';

process.exitCode = await runCommandLine(process.argv.slice(2), {
  print(line) {
    process.stdout.write(`${line}\n`);
  },
  complain(line) {
    process.stderr.write(`${line}\n`);
  },
  environment: process.env,
  clock: createSystemClock(),
  user: readUser(),
});

/** A process may run under a user id without a name. */
function readUser(): string {
  try {
    return userInfo().username;
  } catch {
    return `user-${process.getuid?.() ?? 'unknown'}`;
  }
}
