/**
 * Disaggregated prefill: one engine prefills the prompt and hands its KV cache to another, which
 * decodes.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import { createUnknownOutcome, type Failure } from '../errors/index.js';
import type { EngineRequest, ModelEngine } from '../ports/index.js';

export interface Handover {
  /** Prefills the prompt. */
  from: ModelEngine;
  /** Decodes. */
  to: ModelEngine;
  request: EngineRequest;
}

export interface HandoverObserver {
  /** Called when prefill is done, before the KV cache is transferred. */
  prefillDone(): void;
}

/**
 * Prefills the prompt on `from` and imports its KV cache into `to`.
 *
 * @param handover the engines and the request
 * @param signal aborts the prefill
 * @param observer notified of progress
 * @returns the handle of the KV cache, for the request to `to`
 */
export async function handOver(
  { from, to, request }: Handover,
  signal: AbortSignal,
  observer: HandoverObserver,
): Promise<Result<string, Failure>> {
  const failure = await prefill(from, request, signal);
  if (failure !== undefined) return Err(failure);
  observer.prefillDone();
  const exported = await from.exportKv(request.requestId);
  if (exported.isErr()) return exported;
  const imported = await to.importKv(exported.value);
  return imported.isErr() ? imported : Ok(exported.value.handle);
}

async function prefill(
  from: ModelEngine,
  request: EngineRequest,
  signal: AbortSignal,
): Promise<Failure | undefined> {
  for await (const item of from.generate({ ...request, prefillOnly: true }, signal)) {
    if (item.isErr()) return item.error;
    if (item.value.finishReason !== null) return undefined;
  }
  return createUnknownOutcome({
    code: 'answer-incomplete',
    message: 'the prefill stream ended before the prefill was complete',
    step: 'engine.handover',
    peer: from.id,
  });
}
