/**
 * Several stand-ins in one process, as a settings file lists them.
 */
import { match } from 'ts-pattern';
import { z } from 'zod';
import {
  createModelEngineStandIn,
  modelEngineStandInSettingsSchema,
} from './model-engine/index.js';
import {
  createObjectStoreStandIn,
  objectStoreStandInSettingsSchema,
} from './object-store/index.js';
import {
  createPlainServiceStandIn,
  plainServiceStandInSettingsSchema,
} from './plain-service/index.js';
import { createTableStandIn, tableStandInSettingsSchema } from './table-service/index.js';
import { createVmListStandIn, vmListStandInSettingsSchema } from './vm-list/index.js';
import {
  createWeightStoreStandIn,
  weightStoreStandInSettingsSchema,
} from './weight-store/index.js';

const standInSettingsSchema = z.discriminatedUnion('kind', [
  tableStandInSettingsSchema.extend({ kind: z.literal('table-service') }),
  objectStoreStandInSettingsSchema.extend({ kind: z.literal('object-store') }),
  vmListStandInSettingsSchema.extend({ kind: z.literal('vm-list') }),
  weightStoreStandInSettingsSchema.extend({ kind: z.literal('weight-store') }),
  plainServiceStandInSettingsSchema.extend({ kind: z.literal('plain-service') }),
  modelEngineStandInSettingsSchema.extend({ kind: z.literal('model-engine') }),
]);

export const fleetSettingsSchema = z.strictObject({ standIns: z.array(standInSettingsSchema) });

/** The settings of one stand-in, with their defaults. */
export type StandInSettings = z.infer<typeof standInSettingsSchema>;

/** The settings of several stand-ins, as a person writes them. */
export type FleetSettings = z.input<typeof fleetSettingsSchema>;

/** What any running stand-in offers. */
export interface RunningStandIn {
  readonly address: string;
  stop(): Promise<void>;
}

/** Running stand-ins, in the order of their settings. */
export interface Fleet {
  readonly standIns: readonly RunningStandIn[];
  stop(): Promise<void>;
}

/**
 * Starts several stand-ins; resolves when all listen.
 *
 * @param input their settings
 */
export async function startFleet(input: FleetSettings): Promise<Fleet> {
  const settings = fleetSettingsSchema.parse(input);
  const standIns = await Promise.all(settings.standIns.map(startStandIn));
  return {
    standIns,
    async stop() {
      await Promise.all(standIns.map((standIn) => standIn.stop()));
    },
  };
}

function startStandIn(settings: StandInSettings): Promise<RunningStandIn> {
  return match(settings)
    .returnType<Promise<RunningStandIn>>()
    .with({ kind: 'table-service' }, (own) => createTableStandIn(own))
    .with({ kind: 'object-store' }, (own) => createObjectStoreStandIn(own))
    .with({ kind: 'vm-list' }, (own) => createVmListStandIn(own))
    .with({ kind: 'weight-store' }, (own) => createWeightStoreStandIn(own))
    .with({ kind: 'plain-service' }, (own) => createPlainServiceStandIn(own))
    .with({ kind: 'model-engine' }, (own) => createModelEngineStandIn(own))
    .exhaustive();
}
