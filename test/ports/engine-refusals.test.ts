/**
 * What an engine's statuses say of a generation: only a refusal of the port's own form says that nothing ran.
 */
import { expect } from 'chai';
import type { Failure } from '../../src/errors/index.js';
import { createHttpModelEngine } from '../../src/ports/http/index.js';
import type { EngineRequest } from '../../src/ports/index.js';
import { renderAnswer, startRawServer } from '../fixtures/raw-server.js';

const HEADERS = { 'Content-Type': 'application/json', 'Retry-After': '1' };

/** Answers one generation with bytes, closes the connection, and returns the failure. */
async function generate(answer: string): Promise<Failure | undefined> {
  const server = await startRawServer(({ connection }) => {
    connection.end(answer);
  });
  const engine = createHttpModelEngine({ id: 'engine', address: server.address });
  const request: EngineRequest = {
    ...{ requestId: 'r1', model: 'model', prompt: 'torque?', maxTokens: 1, stream: true },
    ...{ priority: 0, resumeFrom: 0, prefillOnly: false },
  };
  let failure: Failure | undefined;
  for await (const item of engine.generate(request, new AbortController().signal)) {
    if (item.isErr()) failure = item.error;
  }
  await server.close();
  return failure;
}

describe("an engine's status", () => {
  const doubts = [
    ...[408, 421, 429, 500, 502, 504].map((status) => ({ status, body: '{"reason":"full"}' })),
    { status: 503, body: '' },
    { status: 503, body: '{"reason":"unheard of"}' },
    { status: 503, body: '{"error":{"message":"overloaded"}}' },
  ];
  for (const { status, body } of doubts) {
    it(`${status} with the body '${body}' is of unknown outcome, without a time to ask again`, async () => {
      const failure = await generate(renderAnswer(status, HEADERS, body));
      expect(failure).to.include({ code: 'backend-server-failed', outcome: 'unknown' });
      expect(failure).not.to.have.property('retryAfterMs');
    });
  }

  it('503 whose reason breaks off is of unknown outcome', async () => {
    const failure = await generate(
      'HTTP/1.1 503 Status\r\nContent-Length: 17\r\n\r\n{"reason":"full"',
    );
    expect(failure).to.include({ code: 'answer-incomplete', outcome: 'unknown' });
  });

  it('103 before a stream that breaks off is no answer', async () => {
    const failure = await generate(
      'HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n',
    );
    expect(failure).to.include({ code: 'answer-incomplete', outcome: 'unknown' });
  });

  it("503 with a reason of the port's is a refusal", async () => {
    const failure = await generate(renderAnswer(503, HEADERS, '{"reason":"full"}'));
    expect(failure).to.include({ code: 'queue-full', outcome: 'not-run' });
  });
});
