/**
 * `GET /healthz`, `/readyz` and `/metrics`, which need no token.
 */
import type { Hono } from 'hono';
import type { OperatorParts } from '../parts.js';

/**
 * Adds the queries to the front. `/readyz` answers 503 while the node takes no new work.
 *
 * @param app the front
 * @param parts what it is made of
 */
export function addHealthQueries(app: Hono, parts: OperatorParts): void {
  app.get('/healthz', (context) => context.json({ alive: true }));
  app.get('/readyz', (context) => {
    const { ready, leaving, configurationVersion } = parts.status();
    return context.json({ ready, leaving, configurationVersion }, ready ? 200 : 503);
  });
  app.get('/metrics', async (context) => {
    const { registry } = parts.metrics;
    return context.body(await registry.metrics(), 200, { 'content-type': registry.contentType });
  });
}
