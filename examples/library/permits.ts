/**
 * Permits of one place: the holder grants it to one wish at a time, and of those that wait the most
 * urgent goes next. Needs no platform: `node dist/examples/library/permits.js`
 */
import { randomUUID } from 'node:crypto';
import {
  createMetrics,
  createShardHolder,
  createSystemClock,
  settingsSchema,
  vmSchema,
  type Permit,
  type PermitQuery,
} from 'reedtally';

const holder = createShardHolder({
  shard: 'catalogue',
  node: 'entry-1',
  fence: 1,
  kind: 'plain-service',
  clock: createSystemClock(),
  metrics: createMetrics(),
  decisions: settingsSchema.shape.decisions.parse({}),
  maxQueue: 100,
  createId: randomUUID,
  isLeaseValid: () => true,
  isMember: () => true,
  isWithdrawn: () => false,
});
const worker = { id: 'worker-1', address: '127.0.0.1:9', zone: 'osu-hall' };
const vm = { ...worker, kind: 'plain-service', service: 'catalogue', state: 'live', labels: {} };
holder.setVms([vmSchema.parse(vm)]);
holder.updateService({ id: 'worker-1', incarnation: 'a', leaving: false, maxConcurrency: 1 });

function createWish(requestId: string, priority: number): PermitQuery {
  return {
    kind: 'permit.request',
    shard: 'catalogue',
    requestId,
    attempt: 1,
    configurationVersion: 1,
    group: 'catalogue-workers',
    team: 'kumasi',
    class: 'page',
    weight: 1,
    priority,
    firstTokenInMs: 1_000,
    deadlineInMs: 10_000,
    promptTokens: 0,
    expectedOutputTokens: 1,
    prefixes: [],
    repeatable: true,
    avoid: [],
  };
}

function giveBack(permit: Permit): void {
  holder.release({
    kind: 'permit.release',
    ...{ shard: permit.shard, permitId: permit.permitId, server: permit.server },
    ...{ requestId: 'r', team: 'kumasi', class: 'page', result: 'answered', totalMs: 5 },
    ...{ promptTokens: 0, cachedTokens: 0, outputTokens: 1 },
  });
}

async function use(requestId: string, priority: number): Promise<void> {
  const answer = await holder.ask('entry-1', createWish(requestId, priority));
  if (answer.kind === 'permit.refused') throw new Error(answer.failure.message);
  console.log(`${requestId} has ${answer.permit.server}`);
  giveBack(answer.permit);
}

// All three ask before the first permit is given back.
await Promise.all([use('first', 5), use('patient', 9), use('urgent', 1)]);
holder.stop();
