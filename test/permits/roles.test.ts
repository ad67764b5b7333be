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
function createFakeEngine(
  id: string,
  calls: string[],
  finishesPrefill = true,
  exportSucceeds = true,
) {
  const lastChunk: EngineChunk = {
    requestId: 'request-1',
    index: 0,
    text: '',
    finishReason: 'stop',
  };
  const engine: Pick<ModelEngine, 'id' | 'generate' | 'exportKv' | 'importKv'> = {
    id,
    async *generate(engineRequest) {
      calls.push(`${id} ${engineRequest.prefillOnly ? 'reads' : 'generates'}`);
      await Promise.resolve();
      if (finishesPrefill) yield Ok(lastChunk);
    },
    exportKv(requestId) {
      calls.push(`${id} exports ${requestId}`);
      return Promise.resolve(exportSucceeds ? Ok({ handle: 'kv-1', tokens: 1 }) : Err(failure));
    },
    importKv({ handle }) {
      calls.push(`${id} imports ${handle}`);
      return Promise.resolve(Ok(undefined));
    },
  };
  return engine as ModelEngine;
}

async function runHandover(finishesPrefill: boolean, exportSucceeds: boolean) {
  const calls: string[] = [];
  const from = createFakeEngine('reader', calls, finishesPrefill, exportSucceeds);
  const to = createFakeEngine('writer', calls);
  const observer = { prefillDone: () => calls.push('read') };
  const result = await handOver({ from, to, request }, new AbortController().signal, observer);
  return { calls, result };
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
    const permitCounts = () => harness.holder.servers().map(({ permits }) => permits.size);
    expect(permitCounts()).to.deep.equal([1, 1]);
    const { shard, permitId, server } = permit;
    const progress = { shard, permitId, server, firstTokenMs: 20, prefillMs: 12 };
    harness.holder.progress({ kind: 'permit.progress', ...progress });
    expect(permitCounts()).to.deep.equal([0, 1]);
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
    const { calls, result } = await runHandover(true, true);
    expect(result.unwrapOr('')).to.equal('kv-1');
    expect(calls).to.deep.equal([
      'reader reads',
      'read',
      'reader exports request-1',
      'writer imports kv-1',
    ]);
  });

  it('report a failure if the prefill was incomplete or the KV cache cannot be exported', async () => {
    const incomplete = await runHandover(false, true);
    expect(incomplete.result.isErr() && incomplete.result.error.code).to.equal('answer-incomplete');
    expect(incomplete.calls).to.deep.equal(['reader reads']);
    const failedExport = await runHandover(true, false);
    expect(failedExport.result.isErr()).to.equal(true);
    expect(failedExport.calls).to.not.include('writer imports kv-1');
  });
});
