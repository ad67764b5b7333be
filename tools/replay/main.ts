/**
 * `npm run replay -- [--pattern FILE] [--seeds N] [--without NAMES]`: plays patterns of load against the
 * scheduler in virtual time and prints what became of the requests of each kind, over all seeds, and
 * what share of its largest prompts was served.
 */
import { readdirSync } from 'node:fs';
import { join } from 'node:path';
import { defineCommand, runMain } from 'citty';
import { parseDisabledMechanisms } from '../../src/scheduling/index.js';
import { readPattern, type Pattern } from './pattern.js';
import { playSeeds, resolveServedShare, type Outcome, type Tally } from './replay.js';

const PATTERN_FOLDER = 'replay';
const WRONG_INPUT_EXIT = 2;

function fail(message: string): never {
  process.stderr.write(`${message}\n`);
  process.exit(WRONG_INPUT_EXIT);
}

function listPatterns(path: string | undefined): string[] {
  if (path !== undefined) return [path];
  const files = readdirSync(PATTERN_FOLDER).filter((file) => file.endsWith('.json'));
  return files.sort().map((file) => join(PATTERN_FOLDER, file));
}

function sumByKind(outcomes: readonly Outcome[]): Map<string, Tally> {
  const totals = new Map<string, Tally>();
  for (const { byKind } of outcomes) {
    for (const [kind, tally] of byKind) {
      totals.set(kind, add(totals.get(kind), tally));
    }
  }
  return totals;
}

function add(left: Tally | undefined, right: Tally): Tally {
  if (left === undefined) return { ...right };
  return {
    asked: left.asked + right.asked,
    onTime: left.onTime + right.onTime,
    late: left.late + right.late,
    refused: left.refused + right.refused,
    failed: left.failed + right.failed,
  };
}

function print(pattern: Pattern, outcomes: readonly Outcome[]): void {
  process.stdout.write(`${pattern.name}\n`);
  process.stdout.write(
    '  kind               asked  on time   late  refused  failed  largest tenth  fifth below\n',
  );
  for (const [kind, { asked, onTime, late, refused, failed }] of sumByKind(outcomes)) {
    const cells = [
      kind.padEnd(17),
      String(asked).padStart(7),
      (onTime / asked).toFixed(3).padStart(8),
      (late / asked).toFixed(3).padStart(6),
      (refused / asked).toFixed(3).padStart(8),
      (failed / asked).toFixed(3).padStart(7),
      resolveServedShare(outcomes, kind, 0.9, 1).toFixed(3).padStart(14),
      resolveServedShare(outcomes, kind, 0.7, 0.9).toFixed(3).padStart(12),
    ];
    process.stdout.write(`  ${cells.join(' ')}\n`);
  }
}

const command = defineCommand({
  meta: { name: 'replay', description: 'Plays patterns of load against the scheduler' },
  args: {
    pattern: { type: 'string', description: 'One pattern file; all of replay/ otherwise' },
    seeds: { type: 'string', default: '3', description: 'How many seeds' },
    without: { type: 'string', default: '', description: 'Mechanisms that are off' },
  },
  async run({ args }) {
    const mechanisms = parseDisabledMechanisms(args.without);
    if (mechanisms.isErr()) fail(`--without: ${mechanisms.error}`);
    const count = Number(args.seeds);
    if (!Number.isInteger(count) || count < 1) fail('--seeds: a whole number from 1 on');
    const seeds = Array.from({ length: count }, (_, index) => index + 1);
    for (const path of listPatterns(args.pattern)) {
      const pattern = readPattern(path);
      if (pattern.isErr()) fail(pattern.error);
      print(pattern.value, await playSeeds(pattern.value, seeds, mechanisms.value));
    }
  },
});

await runMain(command);
