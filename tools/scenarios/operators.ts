/**
 * What a scenario's operators do: they ask any node that answers, and ask another one when it does
 * not.
 */
import { z } from 'zod';
import type { StoredObject } from '../../src/configuration/index.js';
import type { HttpAnswer } from '../common/index.js';
import { nameOf, type Stage } from './stage.js';
import type { Label } from './steps.js';

const acceptedSchema = z.object({ version: z.number().int() });
const listedSchema = z.object({ version: z.number().int(), object: z.unknown() });

const PATIENCE_MS = 15_000;
const AGAIN_AFTER_MS = 250;

/**
 * Gives an order at some node, and again until it is accepted; rejects when none accepts it.
 *
 * @returns the version that has the change
 */
export async function operate(stage: Stage, path: string, body: unknown): Promise<number> {
  const until = performance.now() + PATIENCE_MS;
  for (let turn = 0; ; turn++) {
    const nodes = stage.cluster.running();
    const node = nodes[turn % nodes.length] ?? '';
    const answer = await ask(stage, node, path, body);
    const version = noteAnswer(stage, answer);
    if (version !== undefined) return version;
    if (performance.now() > until) throw new Error(`${path}: ${JSON.stringify(answer.body)}`);
    await new Promise((resolve) => setTimeout(resolve, AGAIN_AFTER_MS));
  }
}

async function ask(stage: Stage, node: string, path: string, body: unknown): Promise<HttpAnswer> {
  try {
    return await stage.cluster.operate(node, 'POST', path, body);
  } catch (error) {
    return { status: 0, body: String(error) };
  }
}

/** Notes an accepted change and begins to measure when it is in force. */
function noteAnswer(stage: Stage, answer: HttpAnswer): number | undefined {
  const accepted = acceptedSchema.safeParse(answer.body);
  if (answer.status !== 200 || !accepted.success) return undefined;
  const { version } = accepted.data;
  stage.version = Math.max(stage.version, version);
  stage.inForce.push(stage.watch.waitFor(version));
  return version;
}

/** Sets a label of a VM. */
export async function labelVm(stage: Stage, server: string, label: Label): Promise<void> {
  await operate(stage, `/v1/labels/vm/${server}`, { set: { [label.key]: label.value } });
}

/** An operator leaves `reedtally watch` open at every node; it ends when the node does. */
export function watchEveryNode(stage: Stage): Promise<void> {
  const { cluster } = stage;
  for (const node of cluster.running()) {
    void cluster.operate(node, 'GET', '/v1/watch').catch(() => undefined);
  }
  return Promise.resolve();
}

/** Makes the engines of the example's group load one more adapter. */
export async function loadAdapter(stage: Stage, adapter: string): Promise<void> {
  for (const object of stage.objects.values()) {
    if (object.kind !== 'group' || object.model === undefined) continue;
    const changed = { ...object, adapters: [...object.adapters, adapter] };
    stage.objects.set(nameOf(changed), changed);
    await operate(stage, '/v1/changes', { objects: [changed] });
  }
}

/**
 * Two operators set labels of one VM at the same moment, at two nodes, each knowing the same
 * version of it. Notes how many were accepted.
 */
export async function competeForLabel(
  stage: Stage,
  server: string,
  first: Label,
  second: Label,
): Promise<void> {
  const nodes = stage.cluster.running();
  const [one = '', other = one] = nodes;
  const version = await findVersion(stage, one, server);
  const answers = await Promise.all([
    ask(stage, one, '/v1/changes', createChange(server, first, version)),
    ask(stage, other, '/v1/changes', createChange(server, second, version)),
  ]);
  stage.accepted = 0;
  for (const answer of answers) {
    if (noteAnswer(stage, answer) !== undefined) stage.accepted += 1;
    else stage.codes.push(readCode(answer.body));
  }
}

function createChange(server: string, label: Label, version: number) {
  const reference = { kind: 'vm', name: server };
  const labels = { [label.key]: label.value };
  const object: StoredObject = {
    kind: 'vm',
    name: server,
    labels,
    drained: false,
    ordersSettled: 0,
  };
  return { objects: [object], expected: [{ ...reference, version }] };
}

async function findVersion(stage: Stage, node: string, server: string): Promise<number> {
  const answer = await stage.cluster.operate(node, 'GET', `/v1/objects/vm/${server}`);
  return listedSchema.safeParse(answer.body).data?.version ?? 0;
}

const failureSchema = z.object({ error: z.object({ code: z.string() }) });

/** The code of a refusal, or what else was answered. */
export function readCode(body: unknown): string {
  return failureSchema.safeParse(body).data?.error.code ?? JSON.stringify(body);
}
