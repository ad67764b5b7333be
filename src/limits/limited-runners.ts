/**
 * Wrappers for request runners that enforce the limits of teams.
 */
import { Err } from 'ts-results-es';
import type { CompletionJob, CompletionRunner, CompletionStream } from '../router/completion.js';
import type { ServiceCallRunner } from '../router/service-call.js';
import type { TeamLimiter } from './team-limiter.js';

/**
 * Enforces the limits of teams on completions.
 *
 * @param runner runs the admitted requests
 * @param limiter the node's limiter
 */
export function limitCompletions(runner: CompletionRunner, limiter: TeamLimiter): CompletionRunner {
  async function* run(job: CompletionJob, signal: AbortSignal): CompletionStream {
    const { team, requestClass, promptTokens, maxTokens } = job;
    const expected = promptTokens + Math.min(maxTokens, requestClass.expectedOutputTokens);
    const admitted = await limiter.admit(team, expected);
    if (admitted.isErr()) {
      yield Err(admitted.error);
      return;
    }
    let tokens = 0;
    try {
      for await (const item of runner.run(job, signal)) {
        if (item.isOk()) tokens = promptTokens + item.value.index + 1;
        yield item;
      }
    } finally {
      admitted.value.end(tokens);
    }
  }

  return { run };
}

/**
 * Enforces the limits of teams on calls to plain services, which use no tokens.
 *
 * @param runner runs the admitted calls
 * @param limiter the node's limiter
 */
export function limitServiceCalls(
  runner: ServiceCallRunner,
  limiter: TeamLimiter,
): ServiceCallRunner {
  return {
    async run(job, signal, beforeSend) {
      const admitted = await limiter.admit(job.team, 0);
      if (admitted.isErr()) return admitted;
      try {
        return await runner.run(job, signal, beforeSend);
      } finally {
        admitted.value.end(0);
      }
    },
  };
}
