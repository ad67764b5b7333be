import { expect } from 'chai';
import { Err, Ok } from 'ts-results-es';
import { createUnknownOutcome } from '../../src/errors/index.js';
import type { EngineChunk, EngineRequest, ModelEngine } from '../../src/ports/index.js';
import { handOver } from '../../src/router/handover.js';
import { createHarness } from './harness.js';

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

/** Creates an engine that records its calls; prefill and export can be made to fail. */
function createFakeEngine(id: string, calls: string[], finishesPrefill = true, exports = true) {
  const last: EngineChunk = { requestId: 'request-1', index: 0, text: '', finishReason: 'stop' };
  const engine: Pick<ModelEngine, 'id' | 'generate' | 'exportKv' | 'importKv'> = {
    id,
    async *generate(asked) {
      calls.push(`${id} ${asked.prefillOnly ? 'reads' : 'generates'}`);
      await Promise.resolve();
      if (finishesPrefill) yield Ok(last);
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

async function runHandover(finishesPrefill: boolean, exports: boolean) {
  const calls: string[] = [];
  const from = createFakeEngine('reader', calls, finishesPrefill, exports);
  const to = createFakeEngine('writer', calls);
  const observer = { prefillDone: () => calls.push('read') };
  const handed = await handOver({ from, to, request }, new AbortController().signal, observer);
  return { calls, handed };
}

describe('engines with roles', () => {
  it('share one request: one engine prefills, the other one decodes', async () => {
    const harness = createHarness({
      engines: [
        { id: 'reader', role: 'prefill' },
        { id: 'writer', role: 'decode' },
      ],
    });
    const answer = await harness.holder.ask('entry-1', harness.createQuery({}));
    if (answer.kind !== 'permit.granted') throw new Error(answer.failure.message);
    const { permit } = answer;
    expect([permit.server, permit.prefill?.server]).to.deep.equal(['writer', 'reader']);
    const out = () => harness.holder.servers().map(({ permits }) => permits.size);
    expect(out()).to.deep.equal([1, 1]);
    const { shard, permitId, server } = permit;
    const progress = { shard, permitId, server, firstTokenMs: 20, prefillMs: 12 };
    harness.holder.progress({ kind: 'permit.progress', ...progress });
    expect(out()).to.deep.equal([0, 1]);
  });

  it('serve nothing if one of the two roles is missing or handover is disabled', async () => {
    for (const role of ['prefill', 'decode'] as const) {
      const harness = createHarness({ engines: [{ id: 'one', role }] });
      const outcome = harness.send();
      await harness.advance(0);
      expect(outcome.refusal).to.equal('no-backend-server');
    }
    const engines = [
      { id: 'reader', role: 'prefill' as const },
      { id: 'writer', role: 'decode' as const },
    ];
    const harness = createHarness({ engines, decisions: { handover: false } });
    const outcome = harness.send();
    await harness.advance(0);
    expect(outcome.refusal).to.equal('no-backend-server');
  });

  it('hand over the KV cache after the prefill', async () => {
    const { calls, handed } = await runHandover(true, true);
    expect(handed.unwrapOr('')).to.equal('kv-1');
    expect(calls).to.deep.equal([
      'reader reads',
      'read',
      'reader exports request-1',
      'writer imports kv-1',
    ]);
  });

  it('report a failure if the prefill was incomplete or the KV cache is gone', async () => {
    const incomplete = await runHandover(false, true);
    expect(incomplete.handed.isErr() && incomplete.handed.error.code).to.equal('answer-incomplete');
    expect(incomplete.calls).to.deep.equal(['reader reads']);
    const gone = await runHandover(true, false);
    expect(gone.handed.isErr()).to.equal(true);
    expect(gone.calls).to.not.include('writer imports kv-1');
  });
});
