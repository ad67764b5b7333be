/**
 * Reads server-sent events whose data is one line of JSON, as the operator front sends them.
 */

/** One event. */
export interface ServerEvent {
  event: string;
  data: unknown;
}

/**
 * Reads events from a stream.
 *
 * @param stream the body of the answer
 */
export async function* readEvents(stream: AsyncIterable<Uint8Array>): AsyncGenerator<ServerEvent> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const chunk of stream) {
    rest += decoder.decode(chunk, { stream: true });
    const blocks = rest.split('\n\n');
    rest = blocks.pop() ?? '';
    for (const block of blocks) yield parseEvent(block);
  }
}

function parseEvent(block: string): ServerEvent {
  let event = 'message';
  let data = '';
  for (const line of block.split('\n')) {
    if (line.startsWith('event:')) event = line.slice('event:'.length).trim();
    if (line.startsWith('data:')) data = line.slice('data:'.length).trim();
  }
  return { event, data: data === '' ? undefined : (JSON.parse(data) as unknown) };
}
