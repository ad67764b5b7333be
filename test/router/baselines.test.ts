import { expect } from 'chai';
import { Ok } from 'ts-results-es';
import type { LoadReport, ModelEngine, Vm } from '../../src/ports/index.js';
import {
  createLoadTracker,
  LeastReportedPick,
  RoundRobinPick,
  TwoChoicesPick,
  type Backends,
} from '../../src/router/index.js';
import { createSeededRandom } from '../../src/task/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

function createVm(id: string): Vm {
  const fleet = { zone: 'tema-hall', kind: 'model-engine', service: 'manual' } as const;
  return { id, address: '127.0.0.1:1', ...fleet, state: 'live', labels: {}, checksFence: true };
}

const servers = [createVm('a'), createVm('b'), createVm('c')];
const loads = new Map([
  ['a', 5],
  ['b', 2],
  ['c', 9],
]);
const loadOf = (server: string) => loads.get(server) ?? 0;

function createReport(running: number, ageMs: number): LoadReport {
  return { sequence: 1, ageMs, running, waiting: 0, kvTokensUsed: 0, kvTokensTotal: 1 };
}

describe('placement by each node alone', () => {
  it('picks the server with the least reported load', () => {
    expect(new LeastReportedPick(createSeededRandom(1)).pick(servers, loadOf)?.id).to.equal('b');
  });

  it('never picks the most loaded of three servers by power of two choices', () => {
    const pick = new TwoChoicesPick(createSeededRandom(1));
    const picked = new Set<string | undefined>();
    for (let draw = 0; draw < 50; draw++) {
      picked.add(pick.pick(servers, loadOf)?.id);
    }
    expect([...picked].sort()).to.deep.equal(['a', 'b']);
  });

  it('picks servers in turn, and undefined when there are none', () => {
    const pick = new RoundRobinPick();
    const picked = [1, 2, 3, 4].map(() => pick.pick(servers)?.id);
    expect(picked).to.deep.equal(['a', 'b', 'c', 'a']);
    expect(pick.pick([])).to.equal(undefined);
  });

  it('adds requests started since a report to its load', async () => {
    const { clock, advance } = createFakeClock();
    const engine = { load: () => Promise.resolve(Ok(createReport(4, 400))) };
    const tracker = createLoadTracker({
      clock,
      intervalMs: 1_000,
      backends: { engine: () => engine as unknown as ModelEngine } as unknown as Backends,
      servers: () => servers.slice(0, 1),
    });
    tracker.start();
    await advance(500);
    tracker.recordStart('a');
    await advance(200);
    tracker.recordStart('a');
    expect(tracker.loadOf('a')).to.equal(6);
    // The report polled at 1000 was made at 600, after the first start.
    await advance(400);
    expect(tracker.loadOf('a')).to.equal(5);
    tracker.stop();
  });
});
