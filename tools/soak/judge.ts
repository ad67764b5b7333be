/**
 * What the soak holds the gateways to, from what callers and backend servers saw.
 */
import type { SeenAnswer } from './callers.js';
import { parseEvents } from './streams.js';

/** A request as its caller and the servers saw it. */
export interface Account {
  id: string;
  kind: 'once' | 'any' | 'stream';
  path: string;
  /** `undefined` when the connection broke without an answer. */
  answer: SeenAnswer | undefined;
  /** Servers that ran it, in order. */
  runs: string[];
  /** Heads that servers gave after these runs. */
  given: { server: string; status: number }[];
  /** Events that its stream has. */
  events: number;
  /** The last event that the caller had of an earlier attempt; 0 at first. */
  afterEvent: number;
}

/** Statuses by which a gateway promises that a request did not run and never will. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** A server's signature begins so. */
const SIGNATURE = 'signed-by-';
/** A gateway's own failure of what may have run begins so. */
const OWN_FAILURE = 'may have run';

/**
 * Lists what an account breaks.
 *
 * @param account one request
 */
export function judge(account: Account): string[] {
  const { kind, answer, runs } = account;
  const broken: string[] = [];
  if (kind === 'once' && runs.length > 1) broken.push(`ran ${runs.length} times`);
  if (answer === undefined) return broken;
  if (kind === 'once' && PROMISES.has(answer.status) && runs.length > 0) {
    const statuses = account.given.map(({ status }) => status).join(', ') || 'nothing';
    broken.push(`was refused with ${answer.status} and ran; its server gave ${statuses}`);
  }
  if (answer.status === 404) broken.push('was not found though its route is there');
  const isSuccess = answer.status >= 200 && answer.status < 300;
  broken.push(...(isSuccess ? judgeSuccess(account, answer) : judgeFailure(account, answer)));
  return broken;
}

/** A failure that a server has signed has the status that this server gave, and is never the gateway's own. */
function judgeFailure({ id, given }: Account, { status, headers, body }: SeenAnswer): string[] {
  const requestId = headers['x-request-id'];
  if (requestId !== undefined && requestId !== id) return ['failed as another request'];
  const signature = headers['x-server-signature'];
  if (signature === undefined) return [];
  const isGiven = given.some(
    (own) => signature === `${SIGNATURE}${own.server}` && own.status === status,
  );
  if (!isGiven) return [`failed with ${status} and a signature of another answer`];
  return body.startsWith(OWN_FAILURE) ? ["has a server's signature on the gateway's failure"] : [];
}

function judgeSuccess(account: Account, answer: SeenAnswer): string[] {
  const signature = answer.headers['x-server-signature'];
  if (typeof signature !== 'string') return ['succeeded without a signature'];
  if (answer.headers['x-request-id'] !== account.id) return ['got the answer to another request'];
  if (account.kind === 'stream') return judgeEvents(account, answer);
  const server = signature.slice(SIGNATURE.length);
  const isGiven = account.given.some((own) => own.server === server && own.status === 200);
  if (!isGiven) return ['succeeded where the server did not'];
  const expected = `${server} answers ${account.path}`;
  if (answer.isWhole && answer.body !== expected) return ['got a body that is not the whole one'];
  return [];
}

function judgeEvents(account: Account, answer: SeenAnswer): string[] {
  const { afterEvent } = account;
  const { ids } = parseEvents(answer.body);
  for (const [index, id] of ids.entries()) {
    const due = afterEvent + index + 1;
    if (id !== due) return [`got event ${id} in place of ${due}`];
  }
  const isComplete = afterEvent + ids.length === account.events;
  return answer.isWhole && !isComplete ? ['got a stream that ended before its last event'] : [];
}
