/**
 * Reads an engine's SSE stream of chunks. Chunks wait in a queue until the reader takes them; a
 * reader that falls behind pauses the connection.
 */
import { StringDecoder } from 'node:string_decoder';
import { createParser, type EventSourceParser } from 'eventsource-parser';
import { Err, Ok, type Result } from 'ts-results-es';
import {
  createUnknownOutcome,
  createRefusal,
  type Failure,
  type FailureCode,
} from '../../errors/index.js';
import { engineChunkSchema, engineRefusalSchema, type EngineChunk } from '../model-engine.js';
import { createBoundedBody } from '../bounded-body.js';
import type { AnswerHead, HttpChannel, HttpRequest, Loss } from './channel.js';
import { parseJson } from './json.js';

/** Chunks that may wait for the reader before the connection is paused. */
const MAX_WAITING_CHUNKS = 256;
/** Largest event, in characters; one holds a chunk of a few tokens. */
const MAX_EVENT_CHARACTERS = 256 * 1024;
/** Largest refusal, in bytes; it holds a reason. */
const MAX_REFUSAL_BYTES = 64 * 1024;

const END_OF_STREAM = '[DONE]';

/** An engine's stream, for one reader. */
export interface ChunkSource {
  /** The next chunk, a failure after which nothing follows, or `undefined` after the end. */
  next(): Promise<Result<EngineChunk, Failure> | undefined>;
  /** Gives up, unless the stream has ended. */
  readonly abort: () => void;
  /** Whether the reader gave up before the stream ended. */
  isAbandoned(): boolean;
}

/**
 * Sends a request for a stream.
 *
 * @param channel the engine's channel
 * @param peer the engine, for failures
 * @param request what to send
 */
export function openChunkSource(
  channel: HttpChannel,
  peer: string,
  request: HttpRequest,
): ChunkSource {
  const queue: EngineChunk[] = [];
  const refusal = createBoundedBody(MAX_REFUSAL_BYTES);
  const decoder = new StringDecoder('utf8');
  let taken = 0;
  let head: AnswerHead | undefined;
  let ended = false;
  let failure: Failure | undefined;
  let wake: (() => void) | undefined;
  let paused = false;
  let abandoned = false;
  /** Bytes since the last event. */
  let bytesWithoutEvent = 0;

  const parser: EventSourceParser = createParser({
    maxBufferSize: MAX_EVENT_CHARACTERS,
    onEvent: (event) => {
      receive(event.data);
    },
    onError: ({ type }) => {
      if (type === 'max-buffer-size-exceeded') giveUp('an event of the stream is too large');
    },
  });

  const exchange = channel.start(request, {
    onHead(received) {
      head = received;
    },
    onData(chunk) {
      if (ended) return;
      if (head?.status === 200) read(chunk);
      else if (!refusal.add(chunk)) giveUp('the refusal is too large');
      pauseIfBehind();
    },
    onEnd() {
      if (ended) return;
      end(describeEnd(peer, head, refusal.bytes()));
    },
    onLoss(loss) {
      if (ended) return;
      end(describeLoss(peer, loss));
    },
  });

  function read(chunk: Buffer): void {
    bytesWithoutEvent += chunk.length;
    parser.feed(decoder.write(chunk));
    if (bytesWithoutEvent > MAX_EVENT_CHARACTERS) giveUp('too many bytes without an event');
  }

  function receive(data: string): void {
    if (ended) return;
    bytesWithoutEvent = 0;
    if (data === END_OF_STREAM) {
      end(undefined);
      return;
    }
    const chunk = parseJson(engineChunkSchema, data);
    if (chunk.isErr()) {
      giveUp(chunk.error);
      return;
    }
    queue.push(chunk.value);
    wake?.();
  }

  function giveUp(reason: string): void {
    if (ended) return;
    end(describeCut(peer, reason));
    exchange.abort(reason);
  }

  function end(reason: Failure | undefined): void {
    ended = true;
    failure = reason;
    wake?.();
  }

  function pauseIfBehind(): void {
    if (paused || queue.length - taken < MAX_WAITING_CHUNKS) return;
    paused = true;
    exchange.pause();
  }

  function take(): EngineChunk | undefined {
    const chunk = queue[taken];
    if (chunk !== undefined) {
      taken += 1;
      return chunk;
    }
    queue.length = 0;
    taken = 0;
    if (paused) {
      paused = false;
      exchange.resume();
    }
    return undefined;
  }

  return {
    isAbandoned: () => abandoned,
    async next() {
      for (;;) {
        const chunk = take();
        if (chunk !== undefined) return Ok(chunk);
        if (ended) return failure === undefined ? undefined : Err(failure);
        await new Promise<void>((resolve) => {
          wake = resolve;
        });
        wake = undefined;
      }
    },
    abort: () => {
      if (ended) return;
      abandoned = true;
      exchange.abort('cancelled');
    },
  };
}

function describeEnd(peer: string, head: AnswerHead | undefined, body: Buffer): Failure {
  if (head?.status === 200) return describeCut(peer, 'the stream ended before its end mark');
  const status = head?.status ?? 0;
  const refusal = parseJson(engineRefusalSchema, body);
  if (status === 503 && refusal.isOk()) {
    return createRefusal({
      code: resolveRefusalCode(refusal.value.reason),
      message: `the engine declined: ${refusal.value.reason}`,
      step: 'engine.connect',
      peer,
    });
  }
  return createUnknownOutcome({
    code: 'backend-server-failed',
    message: `the engine answered status ${status}`,
    step: 'engine.connect',
    peer,
  });
}

function resolveRefusalCode(reason: string): FailureCode {
  if (reason === 'full') return 'queue-full';
  if (reason === 'leaving') return 'leaving';
  return 'no-backend-server';
}

function describeLoss(peer: string, loss: Loss): Failure {
  if (!loss.sent) {
    return createRefusal({
      code: loss.aborted ? 'cancelled' : 'backend-server-unreachable',
      message: loss.reason,
      step: 'engine.connect',
      peer,
    });
  }
  if (!loss.aborted) return describeCut(peer, loss.reason);
  return createUnknownOutcome({
    code: 'cancelled',
    message: loss.reason,
    step: 'engine.stream',
    peer,
  });
}

function describeCut(peer: string, message: string): Failure {
  return createUnknownOutcome({ code: 'answer-incomplete', message, step: 'engine.stream', peer });
}
