/**
 * `POST /v1/vms/:id/drain`, `…/undrain` and `…/orders-settled`: what operators say of one VM.
 */
import type { Context, Hono } from 'hono';
import type { VmLabels } from '../../configuration/index.js';
import { answerFailure, answerResult, createUnknownObject } from '../answers.js';
import { readAuthor, readBody } from '../input.js';
import type { OperatorParts } from '../parts.js';
import { ordersSettledRequestSchema } from '../status.js';
import { writeVm } from './vm-labels.js';

/**
 * Adds the commands to the front. A VM that is neither listed by the platform nor known from
 * operators is refused as unknown.
 *
 * @param app the front
 * @param parts what it is made of
 */
export function addVmCommands(app: Hono, parts: OperatorParts): void {
  app.post('/v1/vms/:id/drain', (context) => {
    return changeVm(context, parts, (vm) => ({ ...vm, drained: true }));
  });
  app.post('/v1/vms/:id/undrain', (context) => {
    return changeVm(context, parts, (vm) => ({ ...vm, drained: false }));
  });
  app.post('/v1/vms/:id/orders-settled', async (context) => {
    const node = parts.status().node.node;
    const body = await readBody(context, ordersSettledRequestSchema, node);
    if (body.isErr()) return answerFailure(context, body.error);
    const { fence } = body.value;
    return changeVm(context, parts, (vm) => {
      return { ...vm, ordersSettled: Math.max(vm.ordersSettled, fence) };
    });
  });
}

async function changeVm(
  context: Context,
  parts: OperatorParts,
  change: (vm: VmLabels) => VmLabels,
): Promise<Response> {
  const id = context.req.param('id') ?? '';
  if (!isKnown(parts, id)) {
    return answerFailure(context, createUnknownObject(parts.status().node.node, `vm/${id}`));
  }
  return answerResult(context, await writeVm(parts, id, readAuthor(context), change));
}

function isKnown(parts: OperatorParts, id: string): boolean {
  if (parts.replica.current().vms.has(id)) return true;
  return parts.vms().some((vm) => vm.id === id);
}
