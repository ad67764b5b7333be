// Guards against engines whose refusals or events never end: their bytes were gathered without a bound.
import { expect } from 'chai';
import { createHttpModelEngine } from '../../src/ports/http/index.js';
import { beginWithoutEnd, MAX_TAKEN_BYTES } from '../fixtures/endless.js';
import { startRawServer } from '../fixtures/raw-server.js';
import { until } from '../fixtures/gateway.js';

const request = {
  requestId: 'r1',
  model: 'model',
  prompt: 'is the torque sequence right',
  maxTokens: 100,
  stream: true as const,
  priority: 0,
  resumeFrom: 0,
  prefillOnly: false,
};

describe('a model engine whose answer never ends', () => {
  const answers: readonly [what: string, status: number][] = [
    ['a refusal', 503],
    ['an event', 200],
  ];
  for (const [what, status] of answers) {
    it(`is given up within ${what}, of which nothing is believed`, async () => {
      const server = await startRawServer((received) => {
        beginWithoutEnd(received, status, 'Content-Type: text/event-stream\r\n');
      });
      const engine = createHttpModelEngine({ id: 'e', address: server.address });
      const codes: string[] = [];
      for await (const next of engine.generate(request, new AbortController().signal)) {
        codes.push(next.isErr() ? next.error.code : 'chunk');
      }
      expect(codes).to.deep.equal(['answer-incomplete']);
      const [received] = server.received();
      await until(() => received?.connection.destroyed === true);
      expect(received?.connection.bytesWritten).to.be.below(MAX_TAKEN_BYTES);
      await server.close();
    });
  }
});
