/** The ports of a node to the platform, over HTTP, with every call to the table counted. */
import type { Metrics } from '../metrics/index.js';
import {
  createHttpObjectStore,
  createHttpTableService,
  createHttpVmList,
  createHttpWeightStore,
} from '../ports/http/index.js';
import type { ObjectStore, TableService, VmList, WeightStore } from '../ports/index.js';
import type { Settings } from '../settings/index.js';

const CALL_TIMEOUT_MS = 1_000;

/** What a table is used for; each use has its own connections and its own counters. */
export type TablePurpose = 'lease' | 'shards' | 'orders' | 'claims' | 'configuration';

/** The platform as a node uses it. */
export interface Platform {
  /** A table service whose calls are counted under a purpose. */
  table(purpose: TablePurpose): TableService;
  objectStore: ObjectStore;
  vmList: VmList;
  /** `undefined` when the settings name none. */
  weightStore?: WeightStore | undefined;
}

/**
 * Creates the ports that the settings name.
 *
 * @param settings where the platform is
 * @param metrics counts the calls
 */
export function createPlatform(settings: Settings['platform'], metrics: Metrics): Platform {
  return {
    table: (purpose) =>
      createHttpTableService({
        baseUrl: settings.tableService,
        timeoutMs: CALL_TIMEOUT_MS,
        onCall: (operation, outcome) => {
          metrics.tableCalls.inc({ purpose, operation, outcome });
        },
      }),
    objectStore: createHttpObjectStore({
      baseUrl: settings.objectStore,
      timeoutMs: CALL_TIMEOUT_MS,
    }),
    vmList: createHttpVmList({ baseUrl: settings.vmList, timeoutMs: CALL_TIMEOUT_MS }),
    weightStore:
      settings.weightStore === undefined
        ? undefined
        : createHttpWeightStore({ baseUrl: settings.weightStore, timeoutMs: CALL_TIMEOUT_MS }),
  };
}
