/**
 * The platform's list as one node sees it when its links run through relays: the same VMs, with the
 * addresses of that node's relays in place of the backend servers' own.
 */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { request } from 'undici';
import { vmsSchema } from '../../src/ports/index.js';

/** A running view. */
export interface ListView {
  /** `http://host:port` */
  readonly origin: string;
  close(): Promise<void>;
}

/**
 * Serves the view of one node.
 *
 * @param listOrigin where the list itself is
 * @param addressOf the address to show for a VM
 */
export async function createListView(
  listOrigin: string,
  addressOf: (vm: string) => string | undefined,
): Promise<ListView> {
  const server = createServer((incoming, outgoing) => {
    resolveView(listOrigin, addressOf).then(
      (body) => outgoing.writeHead(200, { 'content-type': 'application/json' }).end(body),
      () => outgoing.writeHead(503).end(),
    );
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    origin: `http://127.0.0.1:${port}`,
    close() {
      server.closeAllConnections();
      return new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
      });
    },
  };
}

async function resolveView(
  listOrigin: string,
  addressOf: (vm: string) => string | undefined,
): Promise<string> {
  const answer = await request(`${listOrigin}/v1/vms`);
  const { vms } = vmsSchema.parse(await answer.body.json());
  const shown = vms.map((vm) => ({ ...vm, address: addressOf(vm.id) ?? vm.address }));
  return JSON.stringify({ vms: shown });
}
