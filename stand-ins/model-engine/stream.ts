/**
 * Writes a request's chunks as an SSE stream, as the faults that it meets will have it.
 */
import type { ServerResponse } from 'node:http';
import type { EngineChunk } from '../../src/ports/index.js';
import { findFault } from '../common/index.js';
import type { Ending, Sink } from './generation.js';
import type { ModelEngineFault } from './settings.js';

const END_MARK = 'data: [DONE]\n\n';

/** A stream to one reader. */
export interface Stream extends Sink {
  /** Begins the answer. */
  open(): void;
}

/**
 * Creates a stream.
 *
 * @param response where it is written
 * @param faults faults that the request meets
 */
export function createStream(
  response: ServerResponse,
  faults: readonly ModelEngineFault[],
): Stream {
  const stop = findFault(faults, 'stop-mid-stream');
  const breaks = findFault(faults, 'break-mid-stream');
  const stall = findFault(faults, 'stall');
  const crossed = findFault(faults, 'wrong-request-id');
  const doubled = findFault(faults, 'duplicate-chunk');
  let chunks = 0;

  /** Ends the stream early if it is time; true once nothing more is to be sent. */
  function isSilent(): boolean {
    if (stop !== undefined && chunks >= stop.afterTokens) response.end();
    if (breaks !== undefined && chunks >= breaks.afterTokens) response.destroy();
    if (stall !== undefined && chunks >= stall.afterTokens) return true;
    return response.writableEnded || response.destroyed;
  }

  function onChunk(chunk: EngineChunk): void {
    if (isSilent()) return;
    chunks += 1;
    if (crossed !== undefined && chunks <= crossed.chunks) {
      const other = { ...chunk, requestId: `${chunk.requestId}-other`, text: ' other' };
      write(other);
      if (crossed.mode !== 'inject') return;
    }
    write(chunk);
    if (doubled !== undefined && chunks <= doubled.chunks) write(chunk);
  }

  function write(chunk: EngineChunk): void {
    response.write(`data: ${JSON.stringify(chunk)}\n\n`);
  }

  function onEnd(ending: Ending): void {
    if (ending === 'cut') response.destroy();
    else if (ending === 'cancelled') response.end();
    else if (!isSilent()) response.end(END_MARK);
  }

  return {
    open() {
      response.writeHead(200, { 'content-type': 'text/event-stream' });
      response.flushHeaders();
    },
    onChunk,
    onEnd,
  };
}
