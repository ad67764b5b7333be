/**
 * What reedtally adds to a request that finds the fleet idle: the same short request is sent to an
 * engine directly and through a node, in turn, one at a time.
 */
import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { build, type Histogram } from 'hdr-histogram-js';
import { Agent, request } from 'undici';
import { startDeployment, type RunningDeployment } from './deployment.js';
import { apiKeyOf } from './generator.js';
import { reedtally } from './policies.js';
import type { Experiment } from './settings.js';

const PAIRS = 400;
/** Requests to each node beforehand, so that its code is compiled as in a node that has run. */
const WARM_UP_REQUESTS = 300;
const REST_MS = 5;
const PROMPT_WORDS = 40;
const MICROS_PER_MS = 1_000;
const MAX_TRACKED_US = 10_000_000;

/** Times to the first byte of the answer's body, in microseconds. */
interface Times {
  direct: Histogram;
  viaNode: Histogram;
  /** An exchange with a node that does nothing: what one hop costs on this machine now. */
  empty: Histogram;
}

/**
 * Measures, and says what came out.
 *
 * @param deployment `tema` or `association`
 * @param experiment its settings
 * @param basePort the first port
 */
export async function measureAddedLatency(
  deployment: string,
  experiment: Experiment,
  basePort: number,
): Promise<string> {
  const folder = `out/bench/${deployment}-latency`;
  const { changeCost } = experiment.deployment;
  const start = { experiment, policy: reedtally, basePort, folder, changeCost };
  const running = await startDeployment(start);
  try {
    return describe(await measure(experiment, running));
  } finally {
    await running.stop();
  }
}

async function measure(experiment: Experiment, running: RunningDeployment): Promise<Times> {
  const times = {
    direct: createHistogram(),
    viaNode: createHistogram(),
    empty: createHistogram(),
  };
  const dispatcher = new Agent({ pipelining: 1 });
  const { model } = experiment.deployment;
  await warmUp(model, running, dispatcher);
  for (let pair = 0; pair < PAIRS; pair++) {
    const engine = running.engines[pair % running.engines.length] ?? '';
    const node = running.nodes[pair % running.nodes.length]?.caller ?? '';
    const prompt = createPrompt();
    const engineBody = { requestId: randomUUID(), model, prompt, maxTokens: 1, stream: true };
    const directUs = await time(engine, engineBody, dispatcher);
    await sleep(REST_MS);
    const emptyUs = await timeEmpty(node, dispatcher);
    await sleep(REST_MS);
    const nodeBody = { model, prompt: createPrompt(), max_tokens: 1, stream: true };
    const viaNodeUs = await time(node, nodeBody, dispatcher);
    await sleep(REST_MS);
    times.direct.recordValue(directUs);
    times.empty.recordValue(emptyUs);
    times.viaNode.recordValue(viaNodeUs);
  }
  await dispatcher.close();
  return times;
}

async function warmUp(model: string, running: RunningDeployment, dispatcher: Agent): Promise<void> {
  for (let round = 0; round < WARM_UP_REQUESTS; round++) {
    const asked: Promise<number>[] = [];
    for (const { caller } of running.nodes) {
      const body = { model, prompt: createPrompt(), max_tokens: 1, stream: true };
      asked.push(time(caller, body, dispatcher));
    }
    await Promise.all(asked);
  }
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_TRACKED_US,
    numberOfSignificantValueDigits: 3,
  });
}

function createPrompt(): string {
  const words: string[] = [];
  for (let index = 0; index < PROMPT_WORDS; index++) {
    words.push(randomUUID().slice(0, 8));
  }
  return words.join(' ');
}

/** @returns microseconds to the first byte of the body */
async function time(address: string, body: object, dispatcher: Agent): Promise<number> {
  const startedAt = performance.now();
  const answer = await request(`http://${address}/v1/completions`, {
    method: 'POST',
    dispatcher,
    headers: {
      authorization: `Bearer ${apiKeyOf('small-1')}`,
      'content-type': 'application/json',
      'x-reedtally-class': 'worked-answer',
    },
    body: JSON.stringify(body),
  });
  if (answer.statusCode !== 200) throw new Error(`${address}: ${await answer.body.text()}`);
  let firstAt: number | undefined;
  for await (const piece of answer.body) {
    if ((piece as Buffer).length > 0) firstAt ??= performance.now();
  }
  return Math.round(((firstAt ?? performance.now()) - startedAt) * MICROS_PER_MS);
}

/** @returns microseconds of an exchange in which the node has nothing to do */
async function timeEmpty(node: string, dispatcher: Agent): Promise<number> {
  const startedAt = performance.now();
  const answer = await request(`http://${node}/v1/entry-points`, { dispatcher });
  await answer.body.dump();
  return Math.round((performance.now() - startedAt) * MICROS_PER_MS);
}

function describe({ direct, viaNode, empty }: Times): string {
  const lines = [`first token of ${PAIRS} short requests each, one at a time, in ms`];
  for (const percentile of [50, 95, 99]) {
    const directMs = direct.getValueAtPercentile(percentile) / MICROS_PER_MS;
    const nodeMs = viaNode.getValueAtPercentile(percentile) / MICROS_PER_MS;
    const added = nodeMs - directMs;
    const emptyMs = empty.getValueAtPercentile(percentile) / MICROS_PER_MS;
    lines.push(
      `p${percentile}: engine directly ${directMs.toFixed(2)}, through a node ${nodeMs.toFixed(2)}, added ${added.toFixed(2)}; an empty exchange with a node ${emptyMs.toFixed(2)}`,
    );
  }
  return lines.join('\n');
}
