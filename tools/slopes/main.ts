/**
 * Measures how the cost of each task grows, on this machine, and prints the slopes that
 * `docs/CAPACITY.md` works with. Ends by itself in under five minutes.
 */
import { defineCommand, runMain } from 'citty';
import {
  measureConfiguration,
  measureEngines,
  measureLargeNodes,
  measureNodes,
} from './measure-clusters.js';
import { measureMembership } from './measure-membership.js';
import { measurePure } from './measure-pure.js';
import { measureWork } from './measure-work.js';
import { say } from './report.js';

const MS_PER_SECOND = 1_000;
/** Measured only when it is named, so that a whole run ends in under five minutes. */
const ON_DEMAND = 'large';

const measurements = new Map<string, () => void | Promise<void>>([
  ['pure', measurePure],
  ['membership', measureMembership],
  ['nodes', measureNodes],
  ['large', measureLargeNodes],
  ['engines', measureEngines],
  ['configuration', measureConfiguration],
  ['work', measureWork],
]);

function listUsual(): string[] {
  return [...measurements.keys()].filter((part) => part !== ON_DEMAND);
}

const command = defineCommand({
  meta: { name: 'slopes', description: 'Measure how the cost of each task grows' },
  args: {
    part: {
      type: 'string',
      description: `One of ${[...measurements.keys()].join(', ')}; all but ${ON_DEMAND} when absent`,
    },
  },
  async run({ args }) {
    const wanted = args.part?.split(',') ?? listUsual();
    for (const part of wanted) {
      const measurePart = measurements.get(part);
      if (measurePart === undefined) throw new Error(`there is no part "${part}"`);
      const startedAt = performance.now();
      await measurePart();
      say(`${part} took ${((performance.now() - startedAt) / MS_PER_SECOND).toFixed(0)} s`);
    }
  },
});

await runMain(command);
