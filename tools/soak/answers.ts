/**
 * Answers of the soak's servers, some of which break off.
 */
import {
  breakStream,
  sign,
  writeEvents,
  type ScriptedAnswer,
} from '../../stand-ins/users-platform/index.js';
import type { RandomSource } from '../../src/task/index.js';

/** Events that a whole stream has. */
export const EVENTS = 5;
/** Part of the pages that break off in their body. */
const BROKEN_PAGE_SHARE = 0.03;
/** Events after which streams break off. */
const EVENTS_BEFORE_BREAK = 2;
/** Part of the streams that break off after these. */
const BROKEN_STREAM_SHARE = 0.05;

/** Writes a page, which at times breaks off; returns all of its body. */
export function answerPage(
  id: string,
  random: RandomSource,
  request: Parameters<ScriptedAnswer>[0],
  response: Parameters<ScriptedAnswer>[1],
): string {
  const body = `${id} answers ${request.path}`;
  response.writeHead(200, sign(request, id));
  if (random.next() >= BROKEN_PAGE_SHARE) {
    response.end(body);
  } else {
    response.write(body.slice(0, 5), () => response.destroy());
  }
  return body;
}

/** Writes a stream, which at times breaks off after its second event. */
export function answerStream(
  version: string,
  random: RandomSource,
  request: Parameters<ScriptedAnswer>[0],
  response: Parameters<ScriptedAnswer>[1],
): void {
  if (random.next() >= BROKEN_STREAM_SHARE || request.headers['last-event-id'] !== undefined) {
    writeEvents(request, response, EVENTS, version);
    return;
  }
  breakStream(request, response, EVENTS_BEFORE_BREAK, version);
}
