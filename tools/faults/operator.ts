/**
 * Operators of a run: they change the configuration through the nodes' own operator fronts and keep
 * what they were told.
 */
import { z } from 'zod';
import { failureSchema } from '../../src/errors/index.js';
import { OPERATOR_TOKEN } from './fleet.js';
import { findFront, type World } from './world.js';

/** What an operator was told of a change. */
export type ChangeTold =
  | { kind: 'accepted'; version: number }
  | { kind: 'failed'; outcome: 'not-run' | 'unknown'; code: string }
  | { kind: 'lost' };

/** One change that an operator asked for. */
export interface AskedChange {
  /** Tells the change apart in the log: a label's value, or empty. */
  mark: string;
  node: string;
  askedAt: number;
  toldAt: number;
  told: ChangeTold;
}

const acceptedSchema = z.object({ version: z.number() });
const refusedSchema = z.object({ error: failureSchema });

async function post(world: World, name: string, path: string, body: object): Promise<ChangeTold> {
  const run = world.nodes.get(name);
  const front = findFront(world, name, 'operator');
  if (run === undefined || front === undefined) return { kind: 'lost' };
  const request = new Request(`http://operator${path}`, {
    method: 'POST',
    headers: { authorization: `Bearer ${OPERATOR_TOKEN}`, 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  const answered = new Promise<ChangeTold>((resolve) => {
    run.process.onKill(() => {
      resolve({ kind: 'lost' });
    });
    run.process.perform(() => {
      void readAnswer(front.fetch(request)).then(resolve);
    });
  });
  return answered;
}

async function readAnswer(answered: Response | Promise<Response>): Promise<ChangeTold> {
  const document: unknown = await (await answered).json();
  const accepted = acceptedSchema.safeParse(document);
  if (accepted.success) return { kind: 'accepted', version: accepted.data.version };
  const refused = refusedSchema.safeParse(document);
  if (!refused.success) return { kind: 'lost' };
  const { outcome, code } = refused.data.error;
  return { kind: 'failed', outcome, code };
}

async function change(
  world: World,
  node: string,
  mark: string,
  path: string,
  body: object,
): Promise<AskedChange> {
  const askedAt = world.time.now();
  const told = await post(world, node, path, body);
  return { mark, node, askedAt, toldAt: world.time.now(), told };
}

/**
 * Writes objects.
 *
 * @param world the world
 * @param node the node that is asked
 * @param objects what to write
 * @param mark tells the change apart
 */
export function writeObjects(
  world: World,
  node: string,
  objects: readonly object[],
  mark: string,
): Promise<AskedChange> {
  return change(world, node, mark, '/v1/changes', { objects, removals: [], force: false });
}

/**
 * Takes a backend server out of use, or back into use.
 *
 * @param world the world
 * @param node the node that is asked
 * @param server the backend server
 * @param isDrained whether it is to be out of use
 */
export function setDrained(
  world: World,
  node: string,
  server: string,
  isDrained: boolean,
): Promise<AskedChange> {
  const path = `/v1/vms/${server}/${isDrained ? 'drain' : 'undrain'}`;
  return change(world, node, '', path, {});
}
