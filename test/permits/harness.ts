/**
 * Runs a shard holder with stand-in engines in one process on a fake clock, and records the outcome
 * of each request.
 */
import { createMetrics } from '../../src/metrics/index.js';
import type { PermitQuery, PermitRelease } from '../../src/links/index.js';
import { createShardHolder, type ShardHolder } from '../../src/permits/index.js';
import { countTokens, prefixHashes } from '../../src/ports/index.js';
import { settingsSchema, type Decisions } from '../../src/settings/index.js';
import { createHistory } from '../../stand-ins/common/index.js';
import { createEngine, type Engine } from '../../stand-ins/model-engine/engine.js';
import {
  modelEngineStandInSettingsSchema,
  type ModelEngineStandInSettings,
} from '../../stand-ins/model-engine/settings.js';
import { createVm } from '../fixtures/configuration.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

/** Outcome of a request. Times are milliseconds from its arrival. */
export interface Outcome {
  team: string;
  class: string;
  refusal?: string;
  retryAfterMs?: number;
  server?: string;
  grantedMs?: number;
  firstTokenMs?: number;
  endMs?: number;
  cachedTokens?: number;
}

/** Properties of a request that differ from the defaults. */
export interface RequestInput extends Partial<PermitQuery> {
  prompt?: string;
  /** Output tokens. */
  tokens?: number;
}

/** The default settings of all mechanisms. */
export const defaultDecisions: Decisions = settingsSchema.shape.decisions.parse({});

export interface HarnessOptions {
  engines: ModelEngineStandInSettings[];
  decisions?: Partial<Decisions>;
  maxQueue?: number;
}

/** Creates a holder that has received the state of its idle engines. */
export function createHarness({
  engines: settings,
  decisions = {},
  maxQueue = 2_000,
}: HarnessOptions) {
  const { clock, advance } = createFakeClock();
  const engines = new Map<string, Engine>();
  const outcomes: Outcome[] = [];
  let ids = 0;
  const holder: ShardHolder = createShardHolder({
    shard: 'manuals',
    node: 'entry-1',
    fence: 1,
    kind: 'model-engine',
    clock,
    metrics: createMetrics(),
    decisions: { ...defaultDecisions, ...decisions },
    maxQueue,
    createId: () => `permit-${(ids += 1)}`,
    isLeaseValid: () => true,
    isMember: () => true,
    isWithdrawn: () => false,
  });
  for (const setting of settings) {
    const full = modelEngineStandInSettingsSchema.parse({ listen: '127.0.0.1:0', ...setting });
    engines.set(full.id, createEngine(full, clock, createHistory({ clock, limit: 1_000 })));
  }
  holder.setVms([...engines.keys()].map((id) => createVm({ id })));
  updateEngines();

  /** Passes the state of each engine to the holder. */
  function updateEngines(): void {
    for (const engine of engines.values()) holder.updateEngine(engine.state());
  }

  function createQuery(input: RequestInput): PermitQuery {
    const { tokens = 8, ...given } = input;
    const prompt = resolvePrompt(input);
    const promptTokens = countTokens(prompt);
    ids += 1;
    return {
      kind: 'permit.request',
      shard: 'manuals',
      requestId: `request-${ids}`,
      attempt: 1,
      configurationVersion: 1,
      group: 'manuals',
      team: 'kumasi',
      class: 'question',
      weight: 1,
      priority: 2,
      firstTokenInMs: 2_000,
      deadlineInMs: 60_000,
      promptTokens,
      expectedOutputTokens: tokens,
      maxOutputTokens: tokens,
      betweenTokensMs: 250,
      prefixes: prefixHashes(prompt, 'model'),
      model: 'model',
      repeatable: true,
      avoid: [],
      ...given,
    };
  }

  /** Sends a request; the returned outcome is filled in as the request proceeds. */
  function send(input: RequestInput = {}): Outcome {
    const query = createQuery(input);
    const outcome: Outcome = { team: query.team, class: query.class };
    outcomes.push(outcome);
    void run(query, input, outcome, clock.now());
    return outcome;
  }

  async function run(
    query: PermitQuery,
    input: RequestInput,
    outcome: Outcome,
    arrivedAt: number,
  ): Promise<void> {
    const answer = await holder.ask('entry-1', query);
    if (answer.kind === 'permit.refused') {
      outcome.refusal = answer.failure.code;
      outcome.retryAfterMs = answer.failure.retryAfterMs ?? 0;
      return;
    }
    const { permit } = answer;
    const calledAt = clock.now();
    outcome.server = permit.server;
    outcome.grantedMs = calledAt - arrivedAt;
    let firstTokenMs: number | undefined;
    let outputTokens = 0;
    let cachedTokens = 0;
    const { shard, permitId, server } = permit;

    function release(result: PermitRelease['result']): void {
      const { requestId, team, promptTokens } = query;
      outcome.cachedTokens = cachedTokens;
      holder.release({
        kind: 'permit.release',
        shard,
        permitId,
        requestId,
        server,
        team,
        class: query.class,
        result,
        promptTokens,
        cachedTokens,
        outputTokens,
        ...(firstTokenMs === undefined ? {} : { firstTokenMs }),
        totalMs: clock.now() - calledAt,
      });
    }

    const request = {
      requestId: query.requestId,
      model: 'model',
      prompt: resolvePrompt(input),
      maxTokens: query.maxOutputTokens ?? 1,
      stream: true as const,
      priority: permit.enginePriority ?? 0,
      resumeFrom: 0,
      prefillOnly: false,
    };
    const submitted = engines.get(server)?.submit(request, {
      onChunk(chunk) {
        outputTokens += 1;
        cachedTokens = chunk.usage?.cachedTokens ?? cachedTokens;
        if (firstTokenMs !== undefined) return;
        firstTokenMs = clock.now() - calledAt;
        outcome.firstTokenMs = clock.now() - arrivedAt;
        holder.progress({ kind: 'permit.progress', shard, permitId, server, firstTokenMs });
      },
      onEnd(ending) {
        if (ending === 'finished') outcome.endMs = clock.now() - arrivedAt;
        release(ending === 'finished' ? 'answered' : 'cut');
      },
    });
    if (submitted?.isOk() === true) return;
    outcome.refusal = 'refused-by-engine';
    release('refused');
  }

  return { clock, advance, holder, engines, outcomes, updateEngines, createQuery, send };
}

/** Appends the marker by which the stand-in engine is told its number of output tokens. */
function resolvePrompt({ prompt = 'why', tokens = 8 }: RequestInput): string {
  return `${prompt} [[answer:${tokens}]]`;
}

/** Creates a prompt of a number of tokens without a common prefix with prompts of other seeds. */
export function createPrompt(tokens: number, seed: number | string): string {
  const words: string[] = [];
  for (let index = 0; index < tokens; index += 1) words.push(`${seed}w${index}`);
  return words.join(' ');
}
