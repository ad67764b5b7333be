/**
 * Runs the stand-ins of a settings file until SIGTERM or SIGINT. It prints one line of JSON when
 * all of them listen.
 */
import { defineCommand, runMain } from 'citty';
import { z } from 'zod';
import { readJson } from '../src/settings/index.js';
import { fleetSettingsSchema, startFleet } from './fleet.js';

const command = defineCommand({
  meta: { name: 'stand-ins', description: 'Run stand-ins for the platform and backend servers' },
  args: {
    settings: { type: 'string', required: true, description: 'JSON file with { standIns: [...] }' },
  },
  async run({ args }) {
    const document = readJson(args.settings);
    if (document.isErr()) throw new Error(`${args.settings} ${document.error.message}`);
    const settings = fleetSettingsSchema.safeParse(document.value);
    if (!settings.success) throw new Error(`${args.settings}: ${z.prettifyError(settings.error)}`);
    const fleet = await startFleet(settings.data);
    const addresses = fleet.standIns.map((standIn) => standIn.address);
    process.stdout.write(`${JSON.stringify({ ready: true, addresses })}\n`);
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      process.once(signal, () => void fleet.stop());
    }
  },
});

await runMain(command);
