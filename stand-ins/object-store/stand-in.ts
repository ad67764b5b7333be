/**
 * An object store in memory.
 */
import { z } from 'zod';
import { createSystemClock, type Clock } from '../../src/task/index.js';
import {
  commonFaults,
  commonSettings,
  createHistory,
  createOwnClock,
  createJsonReply,
  startServer,
  type CommonFault,
  type Received,
  type Reply,
  type StandIn,
} from '../common/index.js';

export const objectStoreStandInSettingsSchema = z.strictObject({
  kind: z.literal('object-store').default('object-store'),
  ...commonSettings,
});

/** Settings as a person writes them. */
export type ObjectStoreStandInSettings = z.input<typeof objectStoreStandInSettingsSchema>;

export const objectStoreFaultSchema = z.discriminatedUnion('kind', [...commonFaults]);

/** What the object store records. */
export interface ObjectEntry {
  event: 'put' | 'get' | 'delete';
  key: string;
  bytes: number;
}

/** A running object store. */
export type ObjectStoreStandIn = StandIn<CommonFault, ObjectEntry>;

const PATH = '/v1/objects/';

/**
 * Starts an object store.
 *
 * @param input settings; all have defaults
 * @param time what delays go by
 */
export async function createObjectStoreStandIn(
  input: ObjectStoreStandInSettings = {},
  time: Clock = createSystemClock(),
): Promise<ObjectStoreStandIn> {
  const settings = objectStoreStandInSettingsSchema.parse(input);
  const clock = createOwnClock(time);
  const history = createHistory<ObjectEntry>({ clock, limit: settings.recordLimit });
  const objects = new Map<string, Buffer>();

  function handle(received: Received<CommonFault>): Reply {
    const { method, url, body } = received;
    if (!url.pathname.startsWith(PATH)) return createJsonReply(404, { message: 'no such path' });
    const key = decodeURIComponent(url.pathname.slice(PATH.length));
    if (method === 'GET') return read(key);
    if (method === 'PUT') return write(key, body);
    if (method === 'DELETE') return remove(key);
    return createJsonReply(405, { message: 'no such method' });
  }

  function read(key: string): Reply {
    const body = objects.get(key);
    history.add({ event: 'get', key, bytes: body?.length ?? 0 });
    return body === undefined ? { status: 404 } : { status: 200, body };
  }

  function write(key: string, body: Buffer): Reply {
    objects.set(key, body);
    history.add({ event: 'put', key, bytes: body.length });
    return { status: 204 };
  }

  function remove(key: string): Reply {
    objects.delete(key);
    history.add({ event: 'delete', key, bytes: 0 });
    return { status: 204 };
  }

  return startServer<CommonFault, ObjectEntry>({
    listen: settings.listen,
    clock,
    faultSchema: objectStoreFaultSchema,
    history,
    handle,
    decline: () => createJsonReply(503, { message: 'declined' }),
  });
}
