// Guards against an engine whose comments never end: its stream was read until its caller left.
import { expect } from 'chai';
import { createHttpModelEngine } from '../../src/ports/http/index.js';
import type { EngineRequest } from '../../src/ports/index.js';
import { beginWithoutEnd } from '../fixtures/endless.js';
import { startRawServer } from '../fixtures/raw-server.js';

describe('an engine that sends no event', () => {
  it('but comments without end is given up', async () => {
    const comments = ': nothing yet\n\n'.repeat(4_000);
    const chunk = `${comments.length.toString(16)}\r\n${comments}\r\n`;
    const server = await startRawServer((request) => {
      if (request.path !== '/v1/completions') return;
      beginWithoutEnd(request, 200, 'Content-Type: text/event-stream\r\n', chunk);
    });
    const engine = createHttpModelEngine({ id: 'engine', address: server.address });
    const request: EngineRequest = {
      ...{ requestId: 'r', model: 'm', prompt: 'p', maxTokens: 1, stream: true },
      ...{ priority: 0, resumeFrom: 0, prefillOnly: false },
    };
    const seen: string[] = [];
    for await (const item of engine.generate(request, new AbortController().signal)) {
      seen.push(item.isErr() ? item.error.message : 'an event');
    }
    expect(seen).to.deep.equal(['too many bytes without an event']);
    await server.close();
  });
});
