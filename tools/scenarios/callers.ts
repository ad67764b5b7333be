/**
 * Callers that behave as documented: they ask `/v1/entry-points`, keep the answer for as long as it
 * says, take the next address when one does not connect, and ask again after a refusal that says
 * "not run" when the time to come back is over. A request that may be repeated is asked again, at
 * another address, also when it may have run; one that may not, only under its own idempotency key
 * while it is said to be in progress, or after its connection broke.
 */
import { request, type Agent } from 'undici';
import { z } from 'zod';
import { listNodes, resolveAddresses, type ClusterPlan } from '../common/index.js';
import type { Attempt, Outcome } from './outcomes.js';
import { sendOnce, type Asked } from './sending.js';

const entryPointsSchema = z.object({
  entryPoints: z.array(z.object({ address: z.string(), zone: z.string() })),
  keepForMs: z.number(),
});

const ASK_TIMEOUT_MS = 1_000;
const MIN_WAIT_MS = 100;
/** Wait before all addresses are tried anew when none connected. */
const NO_ADDRESS_WAIT_MS = 500;
const MAX_SENDINGS = 12;

/** The callers of one availability zone. */
export interface Callers {
  /** Asks until there is a final answer. */
  ask(asked: Asked): Promise<Outcome>;
}

/**
 * Creates the callers of one zone; they share what they were told of entry points.
 *
 * @param plan the cluster, whose nodes' addresses callers know to begin with
 * @param agent their connections
 * @param zone their availability zone
 */
export function createCallers(plan: ClusterPlan, agent: Agent, zone: string): Callers {
  const known = new Map<string, string>();
  for (const node of listNodes(plan)) known.set(resolveAddresses(plan, node).caller, node);
  let kept: string[] = [];
  let keptUntil = 0;

  async function findEntryPoints(): Promise<string[]> {
    if (performance.now() < keptUntil && kept.length > 0) return kept;
    const asked = new Set([...kept, ...known.keys()]);
    for (const address of asked) {
      const told = await askEntryPoints(agent, address, zone);
      if (told === undefined || told.entryPoints.length === 0) continue;
      kept = told.entryPoints.map((entry) => entry.address);
      keptUntil = performance.now() + told.keepForMs;
      return kept;
    }
    return [...known.keys()];
  }

  async function ask(asked: Asked): Promise<Outcome> {
    const { kind, label, servicePath: path } = asked;
    const startedAt = performance.now();
    const attempts: Attempt[] = [];
    const failed = new Set<string>();
    for (;;) {
      const addresses = await findEntryPoints();
      const address = addresses.find((one) => !failed.has(one)) ?? addresses[0] ?? '';
      const attempt = await sendOnce(agent, known.get(address) ?? address, address, asked);
      attempts.push(attempt);
      const leftMs = startedAt + asked.deadlineMs - performance.now();
      const waitMs = resolveNextWait(asked, attempt, attempts.length);
      if (waitMs === undefined || waitMs > leftMs) {
        const endedAt = performance.now();
        return { kind, label, path, attempts, end: attempt.end, startedAt, endedAt };
      }
      if (attempt.end === 'not-run') failed.clear();
      else failed.add(address);
      const hasNone = failed.size >= addresses.length;
      if (hasNone) {
        failed.clear();
        keptUntil = 0;
      }
      await new Promise((resolve) => setTimeout(resolve, hasNone ? NO_ADDRESS_WAIT_MS : waitMs));
    }
  }

  return { ask };
}

/** How long a caller waits before it asks again; `undefined` when the answer is final. */
function resolveNextWait(asked: Asked, attempt: Attempt, sendings: number): number | undefined {
  if (sendings >= MAX_SENDINGS) return undefined;
  switch (attempt.end) {
    case 'unconnected':
      return 0;
    case 'broken':
      return MIN_WAIT_MS;
    case 'not-run':
      return attempt.retryAfterMs > 0 ? Math.max(MIN_WAIT_MS, attempt.retryAfterMs) : undefined;
    case 'unknown':
      if (asked.kind !== 'billed-call') return Math.max(MIN_WAIT_MS, attempt.retryAfterMs);
      // Asking again under the key gives the stored answer of a call that is still running.
      return attempt.detail.startsWith('in-progress') ? attempt.retryAfterMs : undefined;
    default:
      return undefined;
  }
}

async function askEntryPoints(agent: Agent, address: string, zone: string) {
  try {
    const answer = await request(`http://${address}/v1/entry-points?zone=${zone}`, {
      dispatcher: agent,
      signal: AbortSignal.timeout(ASK_TIMEOUT_MS),
    });
    return entryPointsSchema.safeParse(await answer.body.json()).data;
  } catch {
    return undefined;
  }
}
