import { expect } from 'chai';
import { Err, Ok } from 'ts-results-es';
import { createUnknownOutcome } from '../../src/errors/index.js';
import type { EngineChunk, EngineRequest, ModelEngine } from '../../src/ports/index.js';
import { handOver } from '../../src/router/handover.js';
import { createDrive } from './drive.js';

const failure = createUnknownOutcome({
  code: 'backend-server-failed',
  message: 'no KV cache',
  step: 'engine.handover',
  peer: 'engine',
});

const request: EngineRequest = {
  requestId: 'request-1',
  model: 'model',
  prompt: 'why',
  maxTokens: 4,
  stream: true,
  priority: 0,
  resumeFrom: 0,
  prefillOnly: false,
};

/** An engine that records what it is asked, and reads prompts to their end or not. */
function createFakeEngine(id: string, calls: string[], readsToEnd = true, exports = true) {
  const last: EngineChunk = { requestId: 'request-1', index: 0, text: '', finishReason: 'stop' };
  const engine: Pick<ModelEngine, 'id' | 'generate' | 'exportKv' | 'importKv'> = {
    id,
    async *generate(asked) {
      calls.push(`${id} ${asked.prefillOnly ? 'reads' : 'generates'}`);
      await Promise.resolve();
      if (readsToEnd) yield Ok(last);
    },
    exportKv(requestId) {
      calls.push(`${id} exports ${requestId}`);
      return Promise.resolve(exports ? Ok({ handle: 'kv-1', tokens: 1 }) : Err(failure));
    },
    importKv({ handle }) {
      calls.push(`${id} imports ${handle}`);
      return Promise.resolve(Ok(undefined));
    },
  };
  return engine as ModelEngine;
}

async function hand(readsToEnd: boolean, exports: boolean) {
  const calls: string[] = [];
  const from = createFakeEngine('reader', calls, readsToEnd, exports);
  const to = createFakeEngine('writer', calls);
  const watch = { read: () => calls.push('read') };
  const handed = await handOver({ from, to, request }, new AbortController().signal, watch);
  return { calls, handed };
}

describe('engines with roles', () => {
  it('are given one request together: one to read it, the other to generate', async () => {
    const drive = createDrive({
      engines: [
        { id: 'reader', role: 'prefill' },
        { id: 'writer', role: 'decode' },
      ],
    });
    const answer = await drive.holder.ask('entry-1', drive.createQuery({}));
    if (answer.kind !== 'permit.granted') throw new Error(answer.failure.message);
    const { permit } = answer;
    expect([permit.server, permit.prefill?.server]).to.deep.equal(['writer', 'reader']);
    const out = () => drive.holder.servers().map(({ permits }) => permits.size);
    expect(out()).to.deep.equal([1, 1]);
    const { shard, permitId, server } = permit;
    const progress = { shard, permitId, server, firstTokenMs: 20, prefillMs: 12 };
    drive.holder.progress({ kind: 'permit.progress', ...progress });
    expect(out()).to.deep.equal([0, 1]);
  });

  it('serve nothing when only one of the two roles is there, or handover is off', async () => {
    for (const role of ['prefill', 'decode'] as const) {
      const drive = createDrive({ engines: [{ id: 'one', role }] });
      const outcome = drive.send();
      await drive.advance(0);
      expect(outcome.refusal).to.equal('no-backend-server');
    }
    const engines = [
      { id: 'reader', role: 'prefill' as const },
      { id: 'writer', role: 'decode' as const },
    ];
    const drive = createDrive({ engines, decisions: { handover: false } });
    const outcome = drive.send();
    await drive.advance(0);
    expect(outcome.refusal).to.equal('no-backend-server');
  });

  it('hand a KV cache over once the prompt has been read', async () => {
    const { calls, handed } = await hand(true, true);
    expect(handed.unwrapOr('')).to.equal('kv-1');
    expect(calls).to.deep.equal([
      'reader reads',
      'read',
      'reader exports request-1',
      'writer imports kv-1',
    ]);
  });

  it('say so when the prompt was not read to its end or its KV cache is gone', async () => {
    const unread = await hand(false, true);
    expect(unread.handed.isErr() && unread.handed.error.code).to.equal('answer-incomplete');
    expect(unread.calls).to.deep.equal(['reader reads']);
    const gone = await hand(true, false);
    expect(gone.handed.isErr()).to.equal(true);
    expect(gone.calls).to.not.include('writer imports kv-1');
  });
});
