/**
 * Runners of requests that first see to the team's limits.
 */
import { Err } from 'ts-results-es';
import type { CompletionJob, CompletionRunner, CompletionStream } from '../router/completion.js';
import type { ServiceCallRunner } from '../router/service-call.js';
import type { TeamLimiter } from './team-limiter.js';

/**
 * Puts limits before the running of generations.
 *
 * @param runner runs those that pass
 * @param allowances the node's allowances
 */
export function limitCompletions(
  runner: CompletionRunner,
  allowances: TeamLimiter,
): CompletionRunner {
  async function* run(job: CompletionJob, signal: AbortSignal): CompletionStream {
    const { team, requestClass, promptTokens, maxTokens } = job;
    const expected = promptTokens + Math.min(maxTokens, requestClass.expectedOutputTokens);
    const entered = await allowances.admit(team, expected);
    if (entered.isErr()) {
      yield Err(entered.error);
      return;
    }
    let tokens = 0;
    try {
      for await (const item of runner.run(job, signal)) {
        if (item.isOk()) tokens = promptTokens + item.value.index + 1;
        yield item;
      }
    } finally {
      entered.value.end(tokens);
    }
  }

  return { run };
}

/**
 * Puts limits before the running of calls to plain services, which count as no tokens.
 *
 * @param runner runs those that pass
 * @param allowances the node's allowances
 */
export function limitServiceCalls(
  runner: ServiceCallRunner,
  allowances: TeamLimiter,
): ServiceCallRunner {
  return {
    async run(job, signal, beforeSend) {
      const entered = await allowances.admit(job.team, 0);
      if (entered.isErr()) return entered;
      try {
        return await runner.run(job, signal, beforeSend);
      } finally {
        entered.value.end(0);
      }
    },
  };
}
