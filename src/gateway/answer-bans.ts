/**
 * What operators see and change of banned requests, at the metrics address: `GET /bans` lists them, `DELETE
 * /bans/FINGERPRINT` lifts one in all gateways. Callers do not reach that address.
 */
import type { IncomingMessage } from 'node:http';
import type { Quarantine } from '../quarantine/index.js';
import type { StatusResponse } from './status-servers.js';

const PATH = '/bans';

/**
 * Answers a request on bans.
 *
 * @param quarantine of this gateway
 * @param request an operator's
 * @returns `undefined` for other requests
 */
export function answerBans(
  quarantine: Pick<Quarantine, 'bans' | 'lift'>,
  { method = 'GET', url = '' }: Pick<IncomingMessage, 'method' | 'url'>,
): StatusResponse | undefined {
  if (method === 'GET' && url === PATH) return createAnswer(200, { bans: quarantine.bans() });
  if (method !== 'DELETE' || !url.startsWith(`${PATH}/`)) return undefined;
  const fingerprint = url.slice(PATH.length + 1);
  if (quarantine.lift(fingerprint)) return createAnswer(200, { lifted: fingerprint });
  const next = `ask GET ${PATH} for those there are`;
  return createAnswer(404, { error: `no ban has the fingerprint ${fingerprint}; ${next}` });
}

function createAnswer(status: number, body: unknown): StatusResponse {
  return { status, contentType: 'application/json', body: `${JSON.stringify(body)}\n` };
}
