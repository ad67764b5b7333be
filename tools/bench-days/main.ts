/**
 * `npm run bench-days -- --bench PROGRAM --site FILE`: plays each trouble of `bench-days/` alone, at
 * two moments of a site's quiet day, and prints a table. The bench and the site are the users' and
 * are named on the command line; nothing of them is kept here.
 */
import { execFile } from 'node:child_process';
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { defineCommand, runMain } from 'citty';
import { z } from 'zod';

const MOMENTS_S = [7, 22];
/** What one day may print, in bytes. */
const MAX_OUTPUT_BYTES = 64 * 1024 * 1024;

const entrySchema = z.record(z.string(), z.union([z.string(), z.number()]));
const troublesSchema = z.array(
  z.object({
    name: z.string(),
    /** What the day is to bring about. */
    provokes: z.string(),
    plan: z.array(entrySchema),
    faults: z.array(entrySchema),
  }),
);

type Trouble = z.infer<typeof troublesSchema>[number];
type Entry = z.infer<typeof entrySchema>;

/** What the days of a site are made from. */
interface Site {
  quietDay: string;
  /** Names that stand for `$engines`, `$plain` and `$zone` in the troubles. */
  names: Readonly<Record<string, string>>;
}

function readSite(path: string): Site {
  const text = readFileSync(path, 'utf8');
  const days = text.split(/^\[\[day\]\]\n/m);
  const [head = '', quietDay = ''] = days;
  const services = [...head.matchAll(/^ {2}\{ name = "([^"]+)", (model = )?.*slots = /gm)];
  const names: Record<string, string> = {};
  for (const [, name = '', isEngine] of services) {
    names[isEngine === undefined ? '$plain' : '$engines'] = name;
  }
  names.$zone = /^zones = \[\n {2}\{ name = "([^"]+)"/m.exec(head)?.[1] ?? '';
  return { quietDay, names };
}

function renderEntry(entry: Entry, at: number, site: Site): string {
  const fields = [`at = ${at.toFixed(1)}`];
  for (const [name, value] of Object.entries(entry)) {
    const text = typeof value === 'number' ? String(value) : `"${site.names[value] ?? value}"`;
    fields.push(`${name} = ${text}`);
  }
  return `  { ${fields.join(', ')} },`;
}

function renderEntries(entries: readonly Entry[], site: Site): string {
  const lines: string[] = [];
  for (const moment of MOMENTS_S) {
    for (const entry of entries) {
      lines.push(renderEntry(entry, moment, site));
    }
  }
  return lines.join('\n');
}

/** The quiet day with its own disturbances but the bursts replaced by a trouble. */
function renderDay(trouble: Trouble, site: Site): string {
  const plan = `plan = [\n${renderEntries(trouble.plan, site)}\n]`;
  return site.quietDay
    .replace(/^name = .*$/m, `name = "${trouble.name}"`)
    .replace(/^plan = \[\n[^]*?^\]$/m, plan)
    .replace(/^faults = \[\n([^]*?)^\]$/m, (_all, own: string) => {
      const bursts = own.split('\n').filter((line) => line.includes('kind = "burst"'));
      return `faults = [\n${[...bursts, renderEntries(trouble.faults, site)].join('\n')}\n]`;
    });
}

/** The lines of the bench's output that tell how the day went. */
function summarize(trouble: Trouble, output: string): string {
  const lines = output.split('\n');
  const row = lines.find((line) => line.startsWith(`${trouble.name} `)) ?? 'no result';
  const problems = lines.filter((line) => /^(rules broken|short of the gate)/.test(line));
  const figures = /\s(\S+)\s+(\S+)\s+(\S+)\s+(\S+)\s+(\S+)\s/.exec(row.slice(trouble.name.length));
  const worth = figures?.[3] ?? row;
  return [trouble.name.padEnd(22), worth.padEnd(7), ...problems].join(' ');
}

const run = promisify(execFile);

async function play(bench: string, site: string, path: string): Promise<string> {
  try {
    const { stdout, stderr } = await run(bench, ['run', site, path, '--no-cpu'], {
      maxBuffer: MAX_OUTPUT_BYTES,
    });
    return stdout + stderr;
  } catch (error) {
    const { stdout = '', stderr = '' } = error as { stdout?: string; stderr?: string };
    return `${stdout}${stderr}`;
  }
}

const args = {
  bench: { type: 'string', required: true, description: "The users' bench" },
  site: { type: 'string', required: true, description: 'A site file' },
  only: { type: 'string', description: 'Names of troubles, with commas' },
  jobs: { type: 'string', default: '3', description: 'Days that are played side by side' },
} as const;

const command = defineCommand({
  meta: { name: 'bench-days', description: 'Plays each trouble alone and prints a table' },
  args,
  async run({ args: given }) {
    const troubles = troublesSchema.parse(
      JSON.parse(readFileSync('bench-days/troubles.json', 'utf8')),
    );
    const names = given.only?.split(',');
    const queue = troubles.filter(({ name }) => names?.includes(name) !== false);
    const site = readSite(given.site);
    const folder = join('out', 'bench-days');
    mkdirSync(folder, { recursive: true });
    async function work(): Promise<void> {
      for (let trouble = queue.shift(); trouble !== undefined; trouble = queue.shift()) {
        const path = join(folder, `${trouble.name}.toml`);
        writeFileSync(path, `[[day]]\n${renderDay(trouble, site)}`);
        const output = await play(given.bench, given.site, path);
        writeFileSync(join(folder, `${trouble.name}.txt`), output);
        process.stdout.write(`${summarize(trouble, output)}\n`);
      }
    }
    await Promise.all(Array.from({ length: Number(given.jobs) }, work));
  },
});

await runMain(command);
