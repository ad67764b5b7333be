/**
 * Operators' HTTP interface to banned requests, at the metrics address, which callers cannot reach: `GET /bans`
 * lists the bans, `DELETE /bans/FINGERPRINT` lifts one on all gateways.
 */
import type { IncomingMessage } from 'node:http';
import type { Quarantine } from '../quarantine/index.js';
import type { StatusResponse } from './status-servers.js';

const PATH = '/bans';

/**
 * Handles a request to list or lift bans.
 *
 * @returns `undefined` if the request is not about bans
 */
export function answerBans(
  quarantine: Pick<Quarantine, 'bans' | 'lift'>,
  { method = 'GET', url = '' }: Pick<IncomingMessage, 'method' | 'url'>,
): StatusResponse | undefined {
  if (method === 'GET' && url === PATH) return createResponse(200, { bans: quarantine.bans() });
  if (method !== 'DELETE' || !url.startsWith(`${PATH}/`)) return undefined;
  const fingerprint = url.slice(PATH.length + 1);
  if (quarantine.lift(fingerprint)) return createResponse(200, { lifted: fingerprint });
  const hint = `GET ${PATH} lists the current bans`;
  return createResponse(404, { error: `no ban has the fingerprint ${fingerprint}; ${hint}` });
}

function createResponse(status: number, body: unknown): StatusResponse {
  return { status, contentType: 'application/json', body: `${JSON.stringify(body)}\n` };
}
