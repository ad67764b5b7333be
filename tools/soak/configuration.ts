/**
 * The operator's configuration of the soak, and the heads of its requests.
 */

/** How long a caller waits, in ms. */
export const PATIENCE_MS = 1_500;

/** Headers that every request has. */
export function renderHeaders(id: string): Record<string, string> {
  const deadline = String(PATIENCE_MS);
  return { Host: 'soak.example', 'X-Request-Id': id, 'X-Request-Deadline-Ms': deadline };
}

/** Headers of a prompt with a shared part, and with a further one where that is named. */
export function renderPrompt(id: string, more?: string): Record<string, string> {
  const shared = more === undefined ? 'aa:2000' : `aa:2000,${more}:500`;
  return { 'X-Model': 'm', 'X-Token-Count': '3500,50', 'X-Prompt-Prefix': `${shared},${id}:1000` };
}

/** The operator's configuration; with a route more where that is named. */
export function renderConfiguration(version: number, more?: string): unknown {
  const common = { hostname: 'soak.example', timeoutMs: PATIENCE_MS, targetLatencyMs: 500 };
  const route = (name: string, more: Record<string, unknown>) => ({
    ...common,
    name,
    pathPrefix: `/${name}/`,
    backend: 'pages',
    ...more,
  });
  return {
    version,
    routes: [
      route('once', { kind: 'non_idempotent', maxAttempts: 1 }),
      route('any', { kind: 'idempotent', maxAttempts: 2 }),
      ...(more === undefined ? [] : [route(more, { kind: 'idempotent', maxAttempts: 2 })]),
      route('stream', {
        kind: 'streaming',
        backend: 'chat',
        resumable: true,
        sessionAffinity: true,
        maxAttempts: 2,
      }),
    ],
    services: [
      { name: 'pages', maxConnections: 200 },
      { name: 'chat', maxConnections: 200, engine: { slots: 64, kvCapacity: 100_000 } },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 100_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}
