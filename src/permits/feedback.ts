/**
 * Updates the learned rates and the health of a server from first tokens and released permits.
 */
import type { PermitProgress, PermitRelease } from '../links/index.js';
import type { LineFit } from './line-fit.js';
import type { HealthSample } from './server-health.js';
import { resolveOutputWeight, type GrantedPermit, type Server } from './server.js';

/** A first token is slow if it took this many times as long as expected, and longer than `SLOW_MS`. */
const SLOW_FACTOR = 4;
const SLOW_MS = 1_000;

/**
 * Records the first token of a permit. The prompt counts as cached only from now on: a request with
 * the same prefix that reaches the server during the prefill has to compute all of it again.
 *
 * @param server the server that ran the prefill
 * @param permit the permit
 * @param firstTokenMs time from the call to the first token
 * @param now the time on the holder's clock
 */
export function recordFirstToken(
  server: Server,
  permit: GrantedPermit,
  firstTokenMs: number,
  now: number,
): void {
  const { pendingPrefill } = permit;
  if (pendingPrefill === undefined) return;
  server.prefixes.add(pendingPrefill.prefixes);
  server.rates.observeFirstToken(pendingPrefill.tokensToFirstToken, firstTokenMs, now);
  if (!pendingPrefill.isCountedAsSlow && isSlow(firstTokenMs, pendingPrefill.expectedMs))
    server.health.record('bad', now);
  permit.pendingPrefill = undefined;
  server.prefilling.delete(permit.permitId);
}

/**
 * Records permits whose first token is overdue as failures of their server, once for each permit.
 *
 * @param server the server to check
 * @param now the time on the holder's clock
 */
export function recordOverdue(server: Server, now: number): void {
  for (const { pendingPrefill, grantedAt } of server.prefilling.values()) {
    if (pendingPrefill === undefined || pendingPrefill.isCountedAsSlow) continue;
    if (!isSlow(now - grantedAt, pendingPrefill.expectedMs)) continue;
    pendingPrefill.isCountedAsSlow = true;
    server.health.record('bad', now);
  }
}

/**
 * Records the time of a KV cache handover, which is the time to first token less the prefill time.
 *
 * @param handoverMs the fit to update
 * @param permit the permit
 * @param progress the router's report of the first token
 * @param now the time on the holder's clock
 */
export function recordHandover(
  handoverMs: LineFit,
  permit: GrantedPermit,
  progress: PermitProgress,
  now: number,
): void {
  if (progress.prefillMs === undefined) return;
  const ms = progress.firstTokenMs - progress.prefillMs;
  handoverMs.observe({ x: permit.promptTokens, y: ms }, now);
}

/**
 * Records the release of a permit; to be called before the permit is removed from its server.
 *
 * @param server the permit's server
 * @param permit the permit
 * @param release the router's report
 * @param now the time on the holder's clock
 */
export function recordRelease(
  server: Server,
  permit: GrantedPermit,
  release: PermitRelease,
  now: number,
): void {
  const { firstTokenMs } = release;
  if (firstTokenMs !== undefined) recordFirstToken(server, permit, firstTokenMs, now);
  const sample = resolveHealthSample(release.result);
  if (sample !== undefined) server.health.record(sample, now);
  if (release.result !== 'answered') return;
  if (server.vm.kind === 'plain-service') {
    server.rates.observeCall(release.totalMs, now);
    return;
  }
  recordDecodeStep(server, permit, release, now);
}

/**
 * Returns the work of a released permit in prefill tokens. Output tokens are weighted by their
 * decode time.
 *
 * @param release the router's report
 * @param server the permit's server
 */
export function resolveServedTokens(release: PermitRelease, server: Server): number {
  if (release.result === 'refused') return 0;
  const { promptTokens, cachedTokens, outputTokens } = release;
  return promptTokens - cachedTokens + outputTokens * resolveOutputWeight(server);
}

function recordDecodeStep(
  server: Server,
  permit: GrantedPermit,
  release: PermitRelease,
  now: number,
): void {
  if (release.firstTokenMs === undefined || release.outputTokens < 2) return;
  const ms = (release.totalMs - release.firstTokenMs) / (release.outputTokens - 1);
  const batch = (permit.batch + server.permits.size + 1) / 2;
  server.rates.observeStep(batch, ms, now);
}

function resolveHealthSample(result: PermitRelease['result']): HealthSample | undefined {
  if (result === 'cancelled') return undefined;
  return result === 'answered' ? 'good' : 'bad';
}

function isSlow(ms: number, expectedMs: number): boolean {
  return ms > Math.max(SLOW_MS, expectedMs * SLOW_FACTOR);
}
