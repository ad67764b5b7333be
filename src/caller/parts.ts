/** Dependencies of the caller front. */
import type { ClaimRequest, Claims } from '../claims/index.js';
import type { ConfigurationReplica, Team } from '../configuration/index.js';
import type { Log } from '../events/index.js';
import type { RequestStatus } from '../links/index.js';
import type { EntryPoints } from '../membership/index.js';
import type { Metrics } from '../metrics/index.js';
import type { CompletionRunner, RequestStatuses, ServiceCallRunner } from '../router/index.js';
import type { Settings } from '../settings/index.js';
import type { Clock } from '../task/index.js';

/** Whether a node accepts new work. */
export type Readiness = 'ready' | 'leaving' | 'configuration-stale';

/** Dependencies of the caller front. */
export interface CallerParts {
  node: string;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  terms: Settings['requests'];
  replica: Pick<ConfigurationReplica, 'current'>;
  completions: CompletionRunner;
  services: ServiceCallRunner;
  claims: Pick<Claims, 'claim' | 'settle' | 'findOutcome' | 'join'>;
  requestStatuses: RequestStatuses;
  createRequestId(): string;
  readiness(): Readiness;
  entryPoints(zone: string | undefined): EntryPoints;
  /** Finds the status of a request of another node; `undefined` if no node knows it. */
  findRequestStatus(requestId: string): Promise<RequestStatus | undefined>;
  /** Changes the number of requests in flight. */
  track(change: 1 | -1): void;
}

/** What is known of a request before its body is read. Times are in ms on the node's clock. */
export interface Arrival {
  requestId: string;
  team: Team;
  arrivedAt: number;
}

/** A request with an idempotency key. */
export type KeyedRequest = ClaimRequest;
