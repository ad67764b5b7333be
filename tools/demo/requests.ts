/**
 * The requests that an example ships, and what is checked of their answers.
 */
import { z } from 'zod';

const commonFields = {
  label: z.string(),
  /** API key of the team that asks. */
  key: z.string(),
  class: z.string(),
};

const generationFields = {
  ...commonFields,
  model: z.string(),
  stream: z.boolean(),
  maxTokens: z.number().int().positive(),
  prompt: z.string(),
};

export const demoRequestSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('chat'), ...generationFields }),
  z.strictObject({ kind: z.literal('text'), ...generationFields }),
  z.strictObject({
    kind: z.literal('service'),
    ...commonFields,
    service: z.string(),
    path: z.string(),
    body: z.unknown(),
    idempotencyKey: z.string(),
    /** Label of an earlier request whose stored answer this one must get. */
    sameAnswerAs: z.string().optional(),
  }),
]);

/** One request of an example. */
export type DemoRequest = z.infer<typeof demoRequestSchema>;

/** A request for a generation. */
export type GenerationRequest = Exclude<DemoRequest, { kind: 'service' }>;

/** A call to a plain service. */
export type ServiceRequest = Extract<DemoRequest, { kind: 'service' }>;

export const demoRequestsSchema = z.strictObject({ requests: z.array(demoRequestSchema) });
