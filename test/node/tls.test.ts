import { expect } from 'chai';
import { Agent, request } from 'undici';
import { WebSocket } from 'ws';
import { createSilentLog } from '../../src/events/index.js';
import { createNode, type Node, type NodeAddresses } from '../../src/node/index.js';
import { loadCertificate, type Certificate } from '../../src/settings/index.js';
import { createTableStandIn, createVmListStandIn, type StandIn } from '../../stand-ins/index.js';
import { createSettings, OPERATOR_TOKEN, PEER_KEY, waitUntil } from '../fixtures/cluster.js';

const files = {
  certificateFile: 'test/fixtures/tls/certificate.pem',
  keyFile: 'test/fixtures/tls/key.pem',
  authorityFile: 'test/fixtures/tls/certificate.pem',
};

describe('nodes with certificates', () => {
  const standIns: Pick<StandIn<never, never>, 'stop'>[] = [];
  const nodes: Node[] = [];
  let certificate: Certificate;
  let agent: Agent;

  before(() => {
    certificate = loadCertificate('peer', files).unwrap();
    agent = new Agent({ connect: { ca: certificate.certificate } });
  });

  afterEach(async () => {
    await Promise.all(nodes.splice(0).map((node) => node.stop()));
    await Promise.all(standIns.splice(0).map((standIn) => standIn.stop()));
  });

  after(() => agent.close());

  async function start(name: string, peers: string[], own?: Certificate): Promise<NodeAddresses> {
    const table = await createTableStandIn();
    const vmList = await createVmListStandIn({ vms: [] });
    standIns.push(table, vmList);
    const origins = { tableService: table.origin, objectStore: table.origin };
    const settings = createSettings(name, { ...origins, vmList: vmList.origin }, { peers });
    const secrets = { peerKey: PEER_KEY, operatorToken: OPERATOR_TOKEN };
    const certificates = own === undefined ? {} : { caller: own, operator: own, peer: own };
    const node = createNode(settings, { ...secrets, certificates }, createSilentLog());
    nodes.push(node);
    return node.start();
  }

  async function countNodes(addresses: NodeAddresses): Promise<number> {
    const answer = await request(`https://${addresses.caller}/v1/entry-points`, {
      dispatcher: agent,
    });
    const body = (await answer.body.json()) as { entryPoints: unknown[] };
    return body.entryPoints.length;
  }

  /** What becomes of dialling a node: `open`, or the reason why not. */
  function dial(url: string, ca?: string): Promise<string> {
    return new Promise((resolve) => {
      const socket = new WebSocket(url, ca === undefined ? {} : { ca });
      socket.once('open', () => {
        socket.terminate();
        resolve('open');
      });
      socket.once('error', ({ message }) => {
        resolve(message);
      });
    });
  }

  it('speak TLS to callers, operators and each other', async () => {
    const first = await start('n1', [], certificate);
    const second = await start('n2', [first.peer], certificate);
    await waitUntil('both know each other', async () => (await countNodes(second)) === 2);
    const ready = await request(`https://${first.operator}/healthz`, { dispatcher: agent });
    expect(await ready.body.json()).to.deep.equal({ alive: true });
  });

  it('take no links in the clear, and make none to an unknown certificate', async () => {
    const { peer } = await start('n1', [], certificate);
    expect(await dial(`ws://${peer}`)).to.match(/hang up|ECONNRESET/);
    expect(await dial(`wss://${peer}`)).to.contain('self-signed certificate');
    expect(await dial(`wss://${peer}`, certificate.authority)).to.equal('open');
  });

  it('names the file that cannot be read', () => {
    const missing = loadCertificate('peer', { ...files, keyFile: 'nowhere.pem' });
    expect(missing.unwrapErr()).to.include({ field: 'tls.peer' });
    expect(missing.unwrapErr().message).to.contain('nowhere.pem');
  });
});
