/**
 * What became of the requests of this node, remembered for a while after they ended.
 */
import type { RequestStatus } from '../links/index.js';
import type { Clock } from '../task/index.js';

const MAX_FATES = 50_000;

interface Remembered {
  fate: RequestStatus;
  /** When it ended; `undefined` while it runs. */
  endedAt: number | undefined;
}

/** The fates of requests, by id. */
export interface RequestStatuses {
  begin(requestId: string, team: string): void;
  end(fate: RequestStatus): void;
  find(requestId: string): RequestStatus | undefined;
}

/**
 * Creates an empty memory.
 *
 * @param clock the clock by which fates grow old
 * @param keptMs how long a fate is remembered after the request ended
 */
export function createRequestStatuses(clock: Clock, keptMs: number): RequestStatuses {
  const fates = new Map<string, Remembered>();

  function sweep(): void {
    const oldest = clock.now() - keptMs;
    for (const [requestId, { endedAt }] of fates) {
      if (fates.size <= MAX_FATES && (endedAt === undefined || endedAt >= oldest)) return;
      fates.delete(requestId);
    }
  }

  return {
    begin(requestId, team) {
      sweep();
      fates.set(requestId, { fate: { requestId, team, state: 'running' }, endedAt: undefined });
    },
    end(fate) {
      fates.delete(fate.requestId);
      fates.set(fate.requestId, { fate, endedAt: clock.now() });
    },
    find: (requestId) => fates.get(requestId)?.fate,
  };
}
