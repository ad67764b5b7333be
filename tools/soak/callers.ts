/**
 * Callers of the soak: they keep connections open for as long as the gateway lives.
 */
import { Agent, request as startRequest, type IncomingHttpHeaders } from 'node:http';

/** An answer as a caller sees it. */
export interface SeenAnswer {
  status: number;
  headers: IncomingHttpHeaders;
  body: string;
  /** The answer ended properly. */
  isWhole: boolean;
}

/** A caller's request. */
export interface Question {
  host: string;
  port: number;
  method: string;
  path: string;
  headers: Record<string, string>;
  timeoutMs: number;
}

const agent = new Agent({ keepAlive: true });

/**
 * Asks a gateway; `undefined` when the connection broke, or nothing came in time.
 *
 * @param question the request
 */
export function ask(question: Question): Promise<SeenAnswer | undefined> {
  const { timeoutMs, ...target } = question;
  return new Promise((resolve) => {
    const outgoing = startRequest({ ...target, agent }, (answer) => {
      const chunks: Buffer[] = [];
      function settle(): void {
        clearTimeout(timer);
        resolve({
          status: answer.statusCode ?? 0,
          headers: answer.headers,
          body: Buffer.concat(chunks).toString('utf8'),
          isWhole: answer.complete,
        });
      }
      answer.on('data', (chunk: Buffer) => chunks.push(chunk));
      answer.on('error', settle);
      answer.on('close', settle);
    });
    const timer = setTimeout(() => outgoing.destroy(), timeoutMs);
    outgoing.on('error', () => {
      clearTimeout(timer);
      resolve(undefined);
    });
    outgoing.end();
  });
}
