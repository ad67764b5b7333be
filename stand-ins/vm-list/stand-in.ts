/**
 * The platform's list of VMs, which shows what was true a while ago. `POST /-/vms` with `{ vms }`
 * changes what is true.
 */
import { z } from 'zod';
import { vmsSchema, type Vm } from '../../src/ports/index.js';
import { createSystemClock, type Clock } from '../../src/task/index.js';
import {
  commonFaults,
  commonSettings,
  createHistory,
  createOwnClock,
  createJsonReply,
  parseBody,
  startServer,
  type CommonFault,
  type Received,
  type Reply,
  type StandIn,
} from '../common/index.js';

export const vmListStandInSettingsSchema = z.strictObject({
  kind: z.literal('vm-list').default('vm-list'),
  ...commonSettings,
  ...vmsSchema.shape,
  /** How old the answers are, in milliseconds. */
  lagMs: z.number().nonnegative().default(0),
});

/** Settings as a person writes them. */
export type VmListStandInSettings = z.input<typeof vmListStandInSettingsSchema>;

export const vmListFaultSchema = z.discriminatedUnion('kind', [...commonFaults]);

/** What the list records. */
export type VmListEntry = { event: 'listed' } | { event: 'changed'; vms: Vm[] };

/** A running list of VMs. */
export interface VmListStandIn extends StandIn<CommonFault, VmListEntry> {
  /** Changes what is true. */
  setVms(vms: z.input<typeof vmsSchema>['vms']): void;
}

interface Truth {
  since: number;
  vms: Vm[];
}

/**
 * Starts a list of VMs.
 *
 * @param input the VMs to begin with, and the lag
 * @param time what the lag goes by
 */
export async function createVmListStandIn(
  input: VmListStandInSettings,
  time: Clock = createSystemClock(),
): Promise<VmListStandIn> {
  const settings = vmListStandInSettingsSchema.parse(input);
  const clock = createOwnClock(time);
  const history = createHistory<VmListEntry>({ clock, limit: settings.recordLimit });
  const truths: Truth[] = [{ since: -Infinity, vms: settings.vms }];

  function change(vms: Vm[]): void {
    truths.push({ since: clock.now(), vms });
    history.add({ event: 'changed', vms });
  }

  function resolveShown(): Vm[] {
    const shownAt = clock.now() - settings.lagMs;
    while (truths[1] !== undefined && truths[1].since <= shownAt) truths.shift();
    return truths[0]?.vms ?? [];
  }

  function handle(received: Received<CommonFault>): Reply {
    const name = `${received.method} ${received.url.pathname}`;
    if (name === 'GET /v1/vms') {
      history.add({ event: 'listed' });
      return createJsonReply(200, { vms: resolveShown() });
    }
    if (name !== 'POST /-/vms') return createJsonReply(404, { message: 'no such path' });
    const parsed = parseBody(vmsSchema, received.body);
    if (!parsed.success) return createJsonReply(400, { message: z.prettifyError(parsed.error) });
    change(parsed.data.vms);
    return { status: 204 };
  }

  const server = await startServer<CommonFault, VmListEntry>({
    listen: settings.listen,
    clock,
    faultSchema: vmListFaultSchema,
    history,
    handle,
    decline: () => createJsonReply(503, { message: 'declined' }),
  });
  return {
    ...server,
    setVms(vms) {
      change(vmsSchema.parse({ vms }).vms);
    },
  };
}
