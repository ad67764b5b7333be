/**
 * `GET /v1/watch`: server-sent events, `change` for every change that comes into force here and
 * `node` for every node whose state of interest changes.
 */
import type { Hono } from 'hono';
import { streamSSE, type SSEStreamingApi } from 'hono/streaming';
import type { NodeState } from '../../links/messages.js';
import type { OperatorParts } from '../parts.js';

const LOOK_EVERY_MS = 250;

/**
 * Adds the query to the front.
 *
 * @param app the front
 * @param parts what it is made of
 */
export function addWatchQuery(app: Hono, parts: OperatorParts): void {
  app.get('/v1/watch', (context) => {
    return streamSSE(context, async (stream) => {
      const seen = new Map<string, string>();
      let version = parts.replica.current().version;
      while (!stream.aborted && !stream.closed) {
        version = await writeChanges(stream, parts, version);
        await writeNodes(stream, parts, seen);
        await stream.sleep(LOOK_EVERY_MS);
      }
    });
  });
}

async function writeChanges(
  stream: SSEStreamingApi,
  parts: OperatorParts,
  after: number,
): Promise<number> {
  const batch = parts.replica.changesAfter(after);
  for (const change of batch.changes) {
    if (change.version <= after) continue;
    const data = JSON.stringify(change);
    await stream.writeSSE({ event: 'change', id: String(change.version), data });
  }
  return batch.newest;
}

async function writeNodes(
  stream: SSEStreamingApi,
  parts: OperatorParts,
  seen: Map<string, string>,
): Promise<void> {
  const { node, nodes } = parts.status();
  for (const state of [node, ...nodes]) {
    const interest = describeInterest(state);
    if (seen.get(state.node) === interest) continue;
    seen.set(state.node, interest);
    await stream.writeSSE({ event: 'node', data: JSON.stringify(state) });
  }
}

function describeInterest(state: NodeState): string {
  return `${state.incarnation} ${state.configurationVersion} ${String(state.leaving)}`;
}
