/**
 * The port to the platform's list of VMs, which lags behind what is true.
 *
 * HTTP protocol: `GET /v1/vms` answers 200 with `{ vms }`, or 503.
 */
import type { Result } from 'ts-results-es';
import * as z from 'zod';
import type { Failure } from '../errors/index.js';
import { createListSchema } from './list-schema.js';

/** Labels on a VM or an object of the configuration, by name. */
export const labelsSchema = z.record(z.string(), z.string());

/** Labels by name. */
export type Labels = z.infer<typeof labelsSchema>;

export const vmSchema = z.object({
  id: z.string(),
  /** `host:port`, by IP number. */
  address: z.string(),
  zone: z.string(),
  kind: z.enum(['entry', 'model-engine', 'plain-service']),
  /** The fleet that the VM belongs to, for example `manual-assistant` or `catalogue`. */
  service: z.string(),
  state: z.enum(['live', 'leaving']),
  labels: labelsSchema,
  /** Whether the engine refuses orders that carry an old fencing number. Stated, never guessed. */
  checksFence: z.boolean().default(false),
});

/** One VM as the platform last saw it. */
export type Vm = z.infer<typeof vmSchema>;

export const vmsSchema = z.object({ vms: createListSchema(vmSchema) });

/** The platform's lagging list of VMs. A VM that is gone is no longer listed. */
export interface VmList {
  list(): Promise<Result<Vm[], Failure>>;
}
