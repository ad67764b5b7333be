/**
 * Statuses of this node's requests, kept for a while after the requests ended.
 */
import type { RequestStatus } from '../links/index.js';
import type { Clock } from '../task/index.js';

const MAX_STATUSES = 50_000;

interface Entry {
  status: RequestStatus;
  /** When the request ended; `undefined` while it runs. */
  endedAt: number | undefined;
}

export interface RequestStatuses {
  begin(requestId: string, team: string): void;
  end(status: RequestStatus): void;
  find(requestId: string): RequestStatus | undefined;
}

/**
 * Creates an empty store of statuses.
 *
 * @param clock the clock for retention
 * @param retentionMs how long a status is kept after its request ended
 */
export function createRequestStatuses(clock: Clock, retentionMs: number): RequestStatuses {
  const entries = new Map<string, Entry>();

  function sweep(): void {
    const oldest = clock.now() - retentionMs;
    // In insertion order, which `end` renews; stops at the first entry to keep.
    for (const [requestId, { endedAt }] of entries) {
      if (entries.size <= MAX_STATUSES && (endedAt === undefined || endedAt >= oldest)) return;
      entries.delete(requestId);
    }
  }

  return {
    begin(requestId, team) {
      sweep();
      entries.set(requestId, { status: { requestId, team, state: 'running' }, endedAt: undefined });
    },
    end(status) {
      entries.delete(status.requestId);
      entries.set(status.requestId, { status, endedAt: clock.now() });
    },
    find: (requestId) => entries.get(requestId)?.status,
  };
}
