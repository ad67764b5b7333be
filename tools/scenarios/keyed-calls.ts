/**
 * Calls that may not be repeated, made at several nodes under one idempotency key.
 */
import { resolveAddresses } from '../common/index.js';
import type { Attempt } from './outcomes.js';
import { sendOnce, type Asked } from './sending.js';
import type { Stage } from './stage.js';

const MAX_SENDINGS = 20;
const AGAIN_AFTER_MS = 250;

/** Makes one new call at every running node at once; all must get the same answer. */
export async function askEverywhere(stage: Stage): Promise<void> {
  stage.keyed = stage.load.createBilled();
  await askKeyed(stage, stage.keyed);
}

/** Makes the same call again at every running node. */
export async function askEverywhereAgain(stage: Stage): Promise<void> {
  if (stage.keyed === undefined) throw new Error('nothing was asked with a key yet');
  await askKeyed(stage, stage.keyed);
}

/** Uses the key for another call, which must be refused. */
export async function askOtherBody(stage: Stage): Promise<void> {
  if (stage.keyed === undefined) throw new Error('nothing was asked with a key yet');
  const asked = { ...stage.keyed, body: JSON.stringify({ other: true }) };
  const [node = ''] = stage.cluster.running();
  const attempt = await send(stage, node, asked);
  stage.codes.push(attempt.detail.split(' ')[0] ?? '');
  if (attempt.end !== 'not-run') stage.found.push(`another body: ${attempt.end} ${attempt.detail}`);
}

async function askKeyed(stage: Stage, asked: Asked): Promise<void> {
  const startedAt = performance.now();
  const nodes = stage.cluster.running();
  const all = await Promise.all(nodes.map((node) => askUntilFinal(stage, node, asked)));
  const texts = new Set<string>();
  for (const attempts of all) {
    const { end = 'unknown', text = '' } = attempts.at(-1) ?? {};
    if (end === 'whole') texts.add(text);
    const { kind, label, servicePath: path } = asked;
    stage.load.outcomes.push({
      kind,
      label: `${label}, one key`,
      path,
      attempts,
      end,
      startedAt,
      endedAt: performance.now(),
    });
  }
  if (texts.size > 1) stage.found.push(`one key got ${texts.size} different answers`);
}

async function askUntilFinal(stage: Stage, node: string, asked: Asked): Promise<Attempt[]> {
  const attempts: Attempt[] = [];
  while (attempts.length < MAX_SENDINGS) {
    const attempt = await send(stage, node, asked);
    attempts.push(attempt);
    const isRunning = attempt.detail.startsWith('in-progress');
    if (attempt.end === 'whole' || (attempt.retryAfterMs === 0 && !isRunning)) break;
    await new Promise((resolve) => setTimeout(resolve, AGAIN_AFTER_MS));
  }
  return attempts;
}

function send(stage: Stage, node: string, asked: Asked): Promise<Attempt> {
  return sendOnce(stage.agent, node, resolveAddresses(stage.cluster.plan, node).caller, asked);
}
