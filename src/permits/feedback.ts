/**
 * What the holder learns when a first token came and when a permit ended: the server's rates and its
 * health.
 */
import type { PermitProgress, PermitRelease } from '../links/index.js';
import type { LineFit } from './line-fit.js';
import type { HealthSample } from './server-health.js';
import { resolveOutputWeight, type GrantedPermit, type Server } from './server.js';

/** A first token is slow when it took this many times as long as expected, and longer than `SLOW_MS`. */
const SLOW_FACTOR = 4;
const SLOW_MS = 1_000;

/**
 * Takes in that a permit's first token came. Only now is its prompt in the server's cache: another
 * request with the same text that came to the server earlier would read all of it again.
 *
 * @param server the server that read the prompt
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
  const { pendingPrefill: pendingPrefill } = permit;
  if (pendingPrefill === undefined) return;
  server.prefixes.add(pendingPrefill.prefixes);
  server.rates.observeFirstToken(pendingPrefill.tokensToFirstToken, firstTokenMs, now);
  if (!pendingPrefill.isCountedAsSlow && isSlow(firstTokenMs, pendingPrefill.expectedMs))
    server.health.record('bad', now);
  permit.pendingPrefill = undefined;
  server.prefilling.delete(permit.permitId);
}

/**
 * Counts permits whose first token should have come long ago against their server, once each.
 *
 * @param server the server to look at
 * @param now the time on the holder's clock
 */
export function recordOverdue(server: Server, now: number): void {
  for (const { pendingPrefill: pendingPrefill, grantedAt } of server.prefilling.values()) {
    if (pendingPrefill === undefined || pendingPrefill.isCountedAsSlow) continue;
    if (!isSlow(now - grantedAt, pendingPrefill.expectedMs)) continue;
    pendingPrefill.isCountedAsSlow = true;
    server.health.record('bad', now);
  }
}

/**
 * Takes in how long a handover took beyond the pendingPrefill of the prompt.
 *
 * @param handoverMs the line to teach
 * @param permit the permit
 * @param progress the router's word on its first token
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
 * Takes in the end of a permit that was counted until now.
 *
 * @param server its server
 * @param permit the permit
 * @param release the router's word on its end
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
  const verdict = resolveVerdict(release.result);
  if (verdict !== undefined) server.health.record(verdict, now);
  if (release.result !== 'answered') return;
  if (server.vm.kind === 'plain-service') {
    server.rates.observeCall(release.totalMs, now);
    return;
  }
  learnStep(server, permit, release, now);
}

/**
 * Work that a permit really was, in prompt tokens to read. Places for answers are what a busy engine
 * lacks first, so a token of an answer counts by the time that it costs.
 *
 * @param release the router's word on its end
 * @param server its server
 */
export function resolveServedTokens(release: PermitRelease, server: Server): number {
  if (release.result === 'refused') return 0;
  const { promptTokens, cachedTokens, outputTokens } = release;
  return promptTokens - cachedTokens + outputTokens * resolveOutputWeight(server);
}

function learnStep(
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

function resolveVerdict(result: PermitRelease['result']): HealthSample | undefined {
  if (result === 'cancelled') return undefined;
  return result === 'answered' ? 'good' : 'bad';
}

function isSlow(ms: number, expectedMs: number): boolean {
  return ms > Math.max(SLOW_MS, expectedMs * SLOW_FACTOR);
}
