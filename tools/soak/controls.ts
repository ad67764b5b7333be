/**
 * Controls of the soak: the gateway's program with one mechanism switched off, which the soak has to
 * find out. The mechanism is taken out of the source while the program is bundled; the sources stay
 * as they are.
 */
import { readFile } from 'node:fs/promises';
import { join, sep } from 'node:path';
import { build } from 'esbuild';

/** A mechanism that is switched off. */
export interface Control {
  name: string;
  /** Where the mechanism is, with slashes. */
  file: string;
  /** Its text, which must stand there once. */
  from: string;
  to: string;
  /** What the soak must find. */
  finds: RegExp;
}

export const controls: readonly Control[] = [
  {
    name: 'gateways without a path ask no peer',
    file: 'src/paths/paths.ts',
    from: 'if (path.noTunnelUntil > clock.now()) return',
    to: 'if (path.noTunnelUntil >= 0) return',
    finds: /cut gateways served/,
  },
  {
    name: 'requests that may run once are sent again',
    file: 'src/relay/next-step.ts',
    from: 'if (!mayRepeat || !hasAttempts || !canContinue)',
    to: 'if (!canContinue)',
    finds: /ran \d+ times/,
  },
  {
    name: 'what may have run is refused as not run',
    file: 'src/relay/final-answer.ts',
    from: 'BAD_GATEWAY = 502',
    to: 'BAD_GATEWAY = 503',
    finds: /was refused with 503 and ran/,
  },
  {
    name: 'any failure of a server is passed on',
    file: 'src/relay/final-answer.ts',
    from: 'return mayRepeat || !protocol.promisesNotRun(status);',
    to: 'return true;',
    finds: /was refused with (408|429|503) and ran; its server gave \1/,
  },
  {
    name: 'answers to other requests are taken for the one that is due',
    file: 'src/relay/answer-reader.ts',
    from: 'if (facts.requestId === requestId) return facts;',
    to: 'return facts;',
    finds:
      /was refused with 503 and ran; its server gave (200|nothing)|the answer to another request/,
  },
  {
    name: 'a broken answer is ended properly',
    file: 'src/relay/caller-answer.ts',
    from: 'response.destroy();',
    to: 'response.end();',
    finds: /ended before its last event/,
  },
  {
    name: 'a broken stream starts over',
    file: 'src/relay/request.ts',
    from: 'lastEventId = eventId ?? lastEventId;',
    to: 'void eventId;',
    finds: /got event 1 in place of/,
  },
  {
    name: 'callers continue streams at any software version',
    file: 'src/relay/stream-version.ts',
    from: 'let required: RequiredVersion | undefined = origin;',
    to: 'let required: RequiredVersion | undefined;',
    finds: /holds events of versions/,
  },
  {
    name: 'no gateway replicates where a stream began',
    file: 'src/streams/stream-origins.ts',
    from: 'for (const peer of replicas.toRecord(attempt))',
    to: 'for (const peer of [])',
    finds: /streams went on, while/,
  },
  {
    name: 'the platform does not store where streams began',
    file: 'src/streams/stored-origins.ts',
    from: 'const isStoring = mixed.size > 0 && parts.hasFoundPeers();',
    to: 'const isStoring = false;',
    finds: /all gateways were killed: .* streams went on/,
  },
  {
    name: 'leaving servers go on getting requests',
    file: 'src/fleet/fleet.ts',
    from: '!server.isLeaving && !entry.isRetired',
    to: '!entry.isRetired',
    finds: /got a request after it had left/,
  },
  {
    name: 'changed routes are not taken over',
    file: 'src/routing/replica.ts',
    from: 'if (!supersedesCurrent(document, source)) return;',
    to: 'if (previousVersion > 0) return;',
    finds: /changed routes are not in force/,
  },
  {
    name: 'no request is refused for the servers that ended under it',
    file: 'src/quarantine/records.ts',
    from: 'CRASHES_TO_BAN = 3;',
    to: 'CRASHES_TO_BAN = 3_000;',
    finds: /servers ended under/,
  },
  {
    name: 'nothing is heard of what servers ask for',
    file: 'src/backpressure/backpressure.ts',
    from: 'recordUnreadable(server, signals);',
    to: 'return;',
    finds: /in a window of its limit|after it said it left|in its rest/,
  },
  {
    name: 'each start of a gateway begins a full retry budget',
    file: 'src/retries/credit.ts',
    from: 'let saved = 0;',
    to: 'let saved = 10;',
    finds: /retries in a window/,
  },
];

/**
 * Bundles the gateway without a mechanism.
 *
 * @param control the mechanism
 * @param folder where the program goes
 * @returns the program's path
 */
export async function buildControl(control: Control, folder: string): Promise<string> {
  const outfile = join(folder, 'gateway.cjs');
  let taken = 0;
  await build({
    entryPoints: ['platform/main.ts'],
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    outfile,
    logLevel: 'warning',
    plugins: [
      {
        name: 'control',
        setup(bundling) {
          bundling.onLoad({ filter: /\.ts$/ }, async ({ path }) => {
            if (!path.endsWith(control.file.split('/').join(sep))) return undefined;
            const source = await readFile(path, 'utf8');
            taken = source.split(control.from).length - 1;
            return { contents: source.replace(control.from, control.to), loader: 'ts' };
          });
        },
      },
    ],
  });
  if (taken === 1) return outfile;
  throw new Error(`control "${control.name}": ${taken} places in ${control.file}, expected one`);
}
