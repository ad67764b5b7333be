/**
 * A weight store that gives so many tickets a second.
 */
import { z } from 'zod';
import { createSystemClock, type Clock } from '../../src/task/index.js';
import {
  commonFaults,
  commonSettings,
  createHistory,
  createOwnClock,
  createJsonReply,
  createRate,
  parseBody,
  startServer,
  type CommonFault,
  type Received,
  type Reply,
  type StandIn,
} from '../common/index.js';

export const weightStoreStandInSettingsSchema = z.strictObject({
  kind: z.literal('weight-store').default('weight-store'),
  ...commonSettings,
  ticketsPerSecond: z.number().positive().default(1),
});

/** Settings as a person writes them. */
export type WeightStoreStandInSettings = z.input<typeof weightStoreStandInSettingsSchema>;

export const weightStoreFaultSchema = z.discriminatedUnion('kind', [...commonFaults]);

/** What the weight store records. */
export type TicketEntry =
  { event: 'granted'; model: string; ticket: string } | { event: 'refused'; model: string };

/** A running weight store. */
export type WeightStoreStandIn = StandIn<CommonFault, TicketEntry>;

const ticketRequestSchema = z.object({ model: z.string() });

/**
 * Starts a weight store.
 *
 * @param input settings; all have defaults
 * @param time what the rate goes by
 */
export async function createWeightStoreStandIn(
  input: WeightStoreStandInSettings = {},
  time: Clock = createSystemClock(),
): Promise<WeightStoreStandIn> {
  const settings = weightStoreStandInSettingsSchema.parse(input);
  const clock = createOwnClock(time);
  const history = createHistory<TicketEntry>({ clock, limit: settings.recordLimit });
  const rate = createRate(clock, settings.ticketsPerSecond);
  let granted = 0;

  function handle(received: Received<CommonFault>): Reply {
    const name = `${received.method} ${received.url.pathname}`;
    if (name !== 'POST /v1/tickets') return createJsonReply(404, { message: 'no such path' });
    const parsed = parseBody(ticketRequestSchema, received.body);
    if (!parsed.success) return createJsonReply(400, { message: z.prettifyError(parsed.error) });
    const { model } = parsed.data;
    if (!rate.take()) {
      history.add({ event: 'refused', model });
      return createJsonReply(429, { retryAfterMs: rate.waitMs() });
    }
    granted += 1;
    const ticket = `ticket-${granted}`;
    history.add({ event: 'granted', model, ticket });
    return createJsonReply(200, { ticket });
  }

  return startServer<CommonFault, TicketEntry>({
    listen: settings.listen,
    clock,
    faultSchema: weightStoreFaultSchema,
    history,
    handle,
    decline: () => createJsonReply(503, { message: 'declined' }),
  });
}
