/**
 * Streams of the soak over all attempts of their callers: a caller whose stream broke off continues it at another
 * gateway, and names the attempt that brought its first event.
 */
import type { SeenAnswer } from './callers.js';

/** Attempts that a caller makes at most for one stream. */
export const MAX_ATTEMPTS = 4;
/** Continued streams below which their share says nothing. */
const MIN_CONTINUED = 12;
/** Least share of the streams to be continued that go on, as a share of the new ones that begin; the users' pages have
 * it so. */
const LEAST_SHARE = 0.5;

/** The events of one answer. */
export interface StreamEvents {
  ids: number[];
  /** Software versions of the servers that made them. */
  versions: string[];
}

/** Where a stream stands after some attempts. */
export interface StreamStory {
  /** The attempt that brought the first event. */
  begunBy: string;
  lastEvent: number;
  versions: ReadonlySet<string>;
}

/** What became of the streams of a phase. */
export interface StreamCounts {
  asked: number;
  begun: number;
  /** Attempts to continue one. */
  toContinue: number;
  continued: number;
}

/** Reads the events of an answer. */
export function parseEvents(body: string): StreamEvents {
  const events: StreamEvents = { ids: [], versions: [] };
  for (const [, id, version] of body.matchAll(/^id: (\d+)\ndata: part \d+(?: by (.*))?\n\n/gm)) {
    events.ids.push(Number(id));
    if (version !== undefined) events.versions.push(version);
  }
  return events;
}

/**
 * Takes one more attempt into the story of its stream; `undefined` while there was no event.
 *
 * @param id the attempt
 */
export function tellStory(
  story: StreamStory | undefined,
  id: string,
  answer: SeenAnswer | undefined,
): StreamStory | undefined {
  const { ids, versions } = parseEvents(answer?.body ?? '');
  const lastEvent = ids.at(-1);
  if (lastEvent === undefined) return story;
  const known = story?.versions ?? [];
  return {
    begunBy: story?.begunBy ?? id,
    lastEvent,
    versions: new Set([...known, ...versions]),
  };
}

/** Headers by which a caller continues a stream. */
export function renderContinuation(story: StreamStory | undefined): Record<string, string> {
  if (story === undefined) return {};
  return { 'Last-Event-Id': String(story.lastEvent), Resumes: story.begunBy };
}

/** What a story breaks. */
export function judgeStory({ versions }: StreamStory): string | undefined {
  return versions.size > 1 ? `holds events of versions ${[...versions].join(', ')}` : undefined;
}

/** Whether streams are continued too seldom. */
export function judgeContinued(counts: StreamCounts): string | undefined {
  const { asked, begun, toContinue, continued } = counts;
  if (toContinue < MIN_CONTINUED) return undefined;
  const isEnough = continued / toContinue >= (LEAST_SHARE * begun) / Math.max(1, asked);
  if (isEnough) return undefined;
  return `${continued} of ${toContinue} streams went on, while ${begun} of ${asked} began`;
}
