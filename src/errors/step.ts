/**
 * The catalogue of steps. Every failure names the step at which it arose, every cell of the fault
 * matrix names the step it disturbs, and both read this one list, so a step without a cell is found
 * by the matrix itself.
 */
import * as z from 'zod';

export const stepSchema = z.enum([
  // A caller's request
  'request.read',
  'request.authenticate',
  'request.resolve',
  'request.admit',
  'permit.ask',
  'permit.wait',
  'permit.release',
  'claim.insert',
  'claim.read-back',
  'claim.settle',
  'engine.connect',
  'engine.stream',
  'engine.resume',
  'engine.handover',
  'service.call',
  'answer.deliver',
  // Leases and orders
  'lease.join',
  'lease.renew',
  'lease.lapse',
  'shard.take',
  'shard.release',
  'order.journal',
  'order.send',
  'order.settle',
  'drain.wait',
  'load.pace',
  // Configuration
  'configuration.transact',
  'configuration.read-back',
  'configuration.follow',
  'configuration.push',
  // Membership and shutdown
  'membership.list',
  'membership.heartbeat',
  'link.authenticate',
  'link.call',
  'shutdown.announce',
  'shutdown.wait',
]);

/** A named point on the way of a request, an order or a change. */
export type Step = z.infer<typeof stepSchema>;

/** All steps, in the order of the catalogue. */
export const steps: readonly Step[] = stepSchema.options;
