/**
 * The table service: conditional transactions on rows in memory, with the faults of the real one.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import { createUnknownOutcome, createRefusal, type Failure } from '../../../src/errors/index.js';
import type {
  Row,
  TableService,
  Transaction,
  TransactionOutcome,
} from '../../../src/ports/index.js';
import type { TablePurpose } from '../../../src/node/environment.js';
import type { StepWatch } from '../step-watch.js';
import { resolveReadStep, resolveWriteStep } from '../table-steps.js';
import type { Network } from './network.js';
import type { FakeProcess } from './process.js';

/** Everything that nodes use the table for. */
export const tablePurposes: readonly TablePurpose[] = [
  'lease',
  'shards',
  'orders',
  'claims',
  'configuration',
];

/** Name of the platform on the network; table, object store and list are reached together. */
export const TABLE = 'table-service';

const TIMEOUT_MS = 1_000;

const detail = { message: 'fault', step: 'configuration.transact', peer: TABLE } as const;
const unavailable = createRefusal({ ...detail, code: 'table-unavailable' });
const unknown = createUnknownOutcome({ ...detail, code: 'table-unknown' });

/** What happens to a write on its way. */
export interface WriteFault {
  dropAnswer?: boolean;
  extraDelayMs?: number;
}

/** The rows of the platform. */
export interface FakeTable {
  rows: Map<string, Row>;
  /** Disturbs the next writes of a process for one purpose, one each. */
  disturb(process: string, purpose: TablePurpose, ...faults: WriteFault[]): void;
  /** Disturbs no further writes of a process. */
  calm(process: string): void;
  /** The port of one process. */
  port(process: FakeProcess, purpose: TablePurpose): TableService;
}

/** What the table needs. */
export interface FakeTableParts {
  network: Network;
  watch: StepWatch;
}

/**
 * Creates an empty table.
 *
 * @param parts the network and who watches the steps
 */
export function createFakeTable({ network, watch }: FakeTableParts): FakeTable {
  const rows = new Map<string, Row>();
  const faults = new Map<string, WriteFault[]>();
  let revision = 0;

  function commit({ conditions, puts, deletes }: Transaction): TransactionOutcome {
    const conflicts: string[] = [];
    for (const condition of conditions) {
      if ((rows.get(condition.key)?.revision ?? 0) !== condition.revision) {
        conflicts.push(condition.key);
      }
    }
    if (conflicts.length > 0) return { kind: 'conflict', conflicts };
    revision += 1;
    for (const { key, value } of puts) rows.set(key, { key, revision, value });
    for (const key of deletes) rows.delete(key);
    return { kind: 'committed', revision };
  }

  function readRange(prefix: string, after: string, limit: number): Row[] {
    const found: Row[] = [];
    for (const row of rows.values()) {
      if (row.key.startsWith(prefix) && row.key > after) found.push(row);
    }
    found.sort((left, right) => (left.key < right.key ? -1 : 1));
    return found.slice(0, limit);
  }

  return {
    rows,
    disturb(process, purpose, ...next) {
      const key = `${process}/${purpose}`;
      faults.set(key, [...(faults.get(key) ?? []), ...next]);
    },
    calm(process) {
      for (const purpose of tablePurposes) faults.delete(`${process}/${purpose}`);
    },
    port: (from, purpose) => ({
      get(key) {
        watch.reach(resolveReadStep(purpose, key), from);
        return network.call<Result<Row | undefined, Failure>>({
          from,
          to: TABLE,
          timeoutMs: TIMEOUT_MS,
          effect: () => Ok(rows.get(key)),
          lost: () => Err(unavailable),
        });
      },
      range({ prefix, after = '', limit }) {
        watch.reach(resolveReadStep(purpose, prefix), from);
        return network.call<Result<Row[], Failure>>({
          from,
          to: TABLE,
          timeoutMs: TIMEOUT_MS,
          effect: () => Ok(readRange(prefix, after, limit)),
          lost: () => Err(unavailable),
        });
      },
      transact(transaction) {
        const step = resolveWriteStep(purpose, from.name, transaction);
        watch.reach(step, from);
        const fault = faults.get(`${from.name}/${purpose}`)?.shift() ?? {};
        return network.call<TransactionOutcome>({
          from,
          to: TABLE,
          timeoutMs: TIMEOUT_MS,
          ...fault,
          effect: () => {
            // What the caller sent is a copy: later changes to its objects do not travel.
            const outcome = commit(structuredClone(transaction));
            watch.reachAfter(step, from);
            return outcome;
          },
          lost: (sent) =>
            sent
              ? { kind: 'unknown', failure: unknown }
              : { kind: 'unavailable', failure: unavailable },
        });
      },
    }),
  };
}
