/**
 * Runs one scenario from start to end.
 */
import { createWriteStream, mkdirSync, writeFileSync } from 'node:fs';
import { act } from './actions.js';
import { check } from './expectations.js';
import { countRecords, type RecordCounts } from './judge.js';
import { countOutcomes, type Counts } from './outcomes.js';
import { readRecords } from './records.js';
import { closeStage, createStage, type Stage } from './stage.js';
import { isExpectation, type Scenario } from './steps.js';

/** What a scenario led to. */
export interface Verdict {
  name: string;
  passed: boolean;
  violations: string[];
  counts: Counts | undefined;
  records: RecordCounts | undefined;
  tookMs: number;
}

/** Violations of one expectation that are shown. */
const SHOWN_VIOLATIONS = 5;

/**
 * Runs a scenario.
 *
 * @param scenario what to run
 * @param basePort first port of its range
 * @param folder where its settings and logs go
 */
export async function runScenario(
  scenario: Scenario,
  basePort: number,
  folder: string,
): Promise<Verdict> {
  const startedAt = performance.now();
  mkdirSync(folder, { recursive: true });
  const logs = createWriteStream(`${folder}/nodes.log`);
  const violations: string[] = [];
  let stage: Stage | undefined;
  let counts: Counts | undefined;
  let records: RecordCounts | undefined;
  try {
    stage = await createStage(scenario, basePort, folder, (_, line) => logs.write(`${line}\n`));
    await runSteps(stage, violations);
    const { outcomes } = stage.load;
    counts = countOutcomes(outcomes);
    const others = outcomes.filter(({ end }) => end !== 'whole');
    writeFileSync(`${folder}/not-whole.json`, JSON.stringify(others, null, 2));
    records = countRecords(await readRecords(stage.cluster));
    violations.push(...stage.found);
    const skipped = stage.load.skipped();
    if (skipped > 0) violations.push(`the load skipped ${skipped} requests`);
  } catch (error) {
    violations.push(error instanceof Error ? (error.stack ?? error.message) : String(error));
  } finally {
    if (stage !== undefined) await closeStage(stage);
    logs.end();
  }
  const tookMs = performance.now() - startedAt;
  const passed = violations.length === 0;
  return { name: scenario.name, passed, violations, counts, records, tookMs };
}

async function runSteps(stage: Stage, violations: string[]): Promise<void> {
  for (const { line, text, does } of stage.scenario.steps) {
    if (!isExpectation(does)) {
      await act(stage, does);
      continue;
    }
    const found = await check(stage, does);
    for (const one of found.slice(0, SHOWN_VIOLATIONS)) {
      violations.push(`line ${line}, ${text}: ${one}`);
    }
    const more = found.length - SHOWN_VIOLATIONS;
    if (more > 0) violations.push(`line ${line}, ${text}: and ${more} more`);
  }
}
