import { expect } from 'chai';
import { createSilentLog } from '../../src/events/index.js';
import {
  createRouteIndex,
  createRoutingReplica,
  chooseTarget,
  type Route,
  type RoutingTable,
} from '../../src/routing/index.js';

function route(name: string, pathPrefix: string, more: Partial<Route> = {}): Route {
  return {
    name,
    host: 'Desk.example',
    pathPrefix,
    repetition: 'once',
    isStream: false,
    isResumable: false,
    timeoutMs: 1_000,
    maxEventGapMs: 200,
    latencyObjectiveMs: 100,
    rank: 0,
    targets: [{ service: 'pages', weight: 1 }],
    maxAttempts: 1,
    hasPrompt: false,
    ...more,
  };
}

function table(version: number, routes: Route[] = []): RoutingTable {
  const limits = {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  };
  return { version, routes, services: new Map(), limits };
}

describe('routing', () => {
  it('finds the longest matching prefix of the host', () => {
    const index = createRouteIndex(table(1, [route('short', '/a/'), route('long', '/a/b/')]));
    expect(index.find('desk.example', '/a/b/c?x=/')?.name).to.equal('long');
    expect(index.find('desk.example', '/a/c')?.name).to.equal('short');
    expect(index.find('desk.example', '/ab')).to.equal(undefined);
    expect(index.find('other.example', '/a/')).to.equal(undefined);
  });

  it('chooses targets by weight', () => {
    const targets = [
      { service: 'a', weight: 90 },
      { service: 'b', weight: 10 },
    ];
    const split = route('split', '/a/', { targets });
    expect(chooseTarget(split, 0.89)).to.equal('a');
    expect(chooseTarget(split, 0.91)).to.equal('b');
  });

  it('ignores older versions from any source', () => {
    const replica = createRoutingReplica(createSilentLog(), () => undefined);
    replica.offer({ table: table(5), text: '' }, 'store');
    replica.offer({ table: table(4), text: '' }, 'peer');
    expect(replica.version()).to.equal(5);
  });
});
