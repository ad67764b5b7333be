/**
 * Reads a prompt on one engine and hands its KV cache to another, which then generates without
 * reading the prompt again.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import { createUnknownOutcome, type Failure } from '../errors/index.js';
import type { EngineRequest, ModelEngine } from '../ports/index.js';

/** A handover between two engines. */
export interface Handover {
  /** Reads the prompt. */
  from: ModelEngine;
  /** Generates. */
  to: ModelEngine;
  request: EngineRequest;
}

/** How far a handover has come. */
export interface HandoverObserver {
  /** The prompt has been read. */
  prefillDone(): void;
}

/**
 * Reads the prompt on the first engine and takes its KV cache to the second.
 *
 * @param handover the engines and the request
 * @param signal ends the reading early
 * @param watch hears when the prompt has been read
 * @returns the name by which the second engine knows the KV cache
 */
export async function handOver(
  { from, to, request }: Handover,
  signal: AbortSignal,
  watch: HandoverObserver,
): Promise<Result<string, Failure>> {
  const failure = await readPrompt(from, request, signal);
  if (failure !== undefined) return Err(failure);
  watch.prefillDone();
  const exported = await from.exportKv(request.requestId);
  if (exported.isErr()) return exported;
  const imported = await to.importKv(exported.value);
  return imported.isErr() ? imported : Ok(exported.value.handle);
}

async function readPrompt(
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
    message: 'the prompt was not read to its end',
    step: 'engine.handover',
    peer: from.id,
  });
}
