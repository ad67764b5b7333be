/**
 * What the operator front is made of.
 */
import type { ConfigurationReplica, ConfigurationWriter } from '../configuration/index.js';
import type { Log } from '../events/index.js';
import type { Metrics } from '../metrics/index.js';
import type { Vm } from '../ports/index.js';
import type { NodeStatus } from './status.js';

/** What the operator front is made of. */
export interface OperatorParts {
  /** The operators' token. */
  token: string;
  metrics: Pick<Metrics, 'registry' | 'refusals'>;
  replica: Pick<ConfigurationReplica, 'current' | 'changesAfter' | 'caughtUp'>;
  writer: ConfigurationWriter;
  /** What this node knows at this moment. */
  status(): NodeStatus;
  /** The VMs as the platform listed them last. */
  vms(): Vm[];
  log: Log;
}
