/**
 * `npm run scenarios`: runs the scripted scenarios with real processes and prints what became of
 * each. Exits 0 only if none was violated.
 */
import { mkdirSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { defineCommand, runMain } from 'citty';
import { PORT_SPAN } from '../common/index.js';
import { describeMisreading, parseScenarios } from './language.js';
import { measure } from './measure.js';
import { describeVerdict, tableHead } from './report.js';
import { runScenario, type Verdict } from './run.js';
import type { Scenario } from './steps.js';

const FOLDER = 'scenarios';
const OUT = 'out/scenarios';
const MAX_AT_ONCE = 3;
const DEFAULT_BASE_PORT = 27_000;

function say(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Reads every file of the folder; says what is wrong in all of them. */
function readScenarios(): Scenario[] {
  const scenarios: Scenario[] = [];
  const wrong: string[] = [];
  for (const file of readdirSync(FOLDER).sort()) {
    if (!file.endsWith('.scenario')) continue;
    const path = `${FOLDER}/${file}`;
    const parsed = parseScenarios(readFileSync(path, 'utf8'));
    if (parsed.isOk()) scenarios.push(...parsed.value);
    else wrong.push(describeMisreading(path, parsed.error));
  }
  if (wrong.length > 0) throw new Error(wrong.join('\n'));
  return scenarios;
}

async function runAll(scenarios: readonly Scenario[], basePort: number): Promise<Verdict[]> {
  const waiting = [...scenarios.entries()];
  const verdicts: Verdict[] = [];

  async function work(lane: number): Promise<void> {
    for (;;) {
      const next = waiting.shift();
      if (next === undefined) return;
      const [index, scenario] = next;
      const folder = `${OUT}/${index + 1}`;
      const verdict = await runScenario(scenario, basePort + lane * PORT_SPAN, folder);
      verdicts.push(verdict);
      for (const line of describeVerdict(verdict)) say(line);
    }
  }

  const lanes: Promise<void>[] = [];
  for (let lane = 0; lane < MAX_AT_ONCE; lane++) lanes.push(work(lane));
  await Promise.all(lanes);
  return verdicts;
}

async function runSuite(only: string | undefined, basePort: number): Promise<number> {
  const all = readScenarios();
  const chosen = all.filter(({ name }) => only === undefined || name.includes(only));
  if (chosen.length === 0) throw new Error(`no scenario's name has "${only ?? ''}" in it`);
  mkdirSync(OUT, { recursive: true });
  say(tableHead());
  const verdicts = await runAll(chosen, basePort);
  writeFileSync('out/scenarios.json', JSON.stringify({ verdicts }, null, 2));
  const passed = verdicts.filter((verdict) => verdict.passed).length;
  say('');
  say(`${passed} of ${chosen.length} scenarios held`);
  return passed === chosen.length ? 0 : 1;
}

async function runMeasure(basePort: number): Promise<number> {
  const figures = await measure(basePort, `${OUT}/measure`);
  for (const { name, value } of figures) say(`${name}: ${value}`);
  writeFileSync('out/scenarios-measure.json', JSON.stringify({ figures }, null, 2));
  return 0;
}

const command = defineCommand({
  meta: { name: 'scenarios', description: 'Run scripted scenarios with real processes' },
  args: {
    only: { type: 'string', description: 'Run only scenarios whose name contains this' },
    measure: { type: 'boolean', description: 'Measure what coordination costs, in place of this' },
    port: { type: 'string', default: String(DEFAULT_BASE_PORT), description: 'First port' },
  },
  async run({ args }) {
    try {
      const port = Number(args.port);
      process.exitCode = await (args.measure === true
        ? runMeasure(port)
        : runSuite(args.only, port));
    } catch (error) {
      say(String(error));
      process.exitCode = 2;
    }
  },
});

await runMain(command);
