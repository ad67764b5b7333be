import { expect } from 'chai';
import {
  createRoutesPacker,
  decodeMessage,
  encodeMessage,
  unpackRoutes,
} from '../../src/peers/index.js';
import type { RoutingDocument } from '../../src/routing/index.js';

const limits = {
  maxHeaderBytes: 1,
  maxBodyBytes: 1,
  headerTimeoutMs: 1,
  idleTimeoutMs: 1,
};

function document(version: number, routes: number): RoutingDocument {
  const names = Array.from({ length: routes }, (_, index) => `route-${index}-of-some-length`);
  const text = JSON.stringify({ version, names });
  return { table: { version, routes: [], services: new Map(), limits }, text };
}

describe('the routes message', () => {
  it('compresses the document and restores it unchanged', () => {
    const sent = document(7, 2_000);
    const bytes = encodeMessage(createRoutesPacker()(sent));
    expect(bytes.length).to.be.below(sent.text.length / 4);
    const received = decodeMessage(bytes);
    expect(received).to.include({ kind: 'routes', version: 7 });
    if (received?.kind === 'routes') expect(unpackRoutes(received).unwrap()).to.equal(sent.text);
  });

  it('is created once for each version', () => {
    const pack = createRoutesPacker();
    expect(pack(document(7, 10))).to.equal(pack(document(7, 10)));
    expect(pack(document(8, 10)).version).to.equal(8);
  });

  it('reports a document that cannot be decompressed', () => {
    const damaged = { kind: 'routes', version: 1, packed: Buffer.from('no') } as const;
    expect(unpackRoutes(damaged).isErr()).to.equal(true);
  });
});
