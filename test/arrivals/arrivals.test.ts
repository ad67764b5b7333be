import { Socket } from 'node:net';
import { expect } from 'chai';
import { createArrivals, type Arrivals } from '../../src/arrivals/index.js';
import { createGatewayMetrics } from '../../src/metrics/index.js';
import { createKeptLog } from '../fixtures/gateway.js';

/** An event loop whose turns the test makes. */
interface ScriptedLoop {
  arrivals: Arrivals;
  /** The loop is at work, in ms. */
  work(ms: number): void;
  /** The loop waits for events, in ms. */
  wait(ms: number): void;
  endTurn(): void;
}

function createScriptedLoop(): ScriptedLoop {
  let now = 0;
  let idleMs = 0;
  let ended: (() => void)[] = [];
  const arrivals = createArrivals({
    clock: { now: () => now, after: () => ({ cancel: () => undefined }) },
    log: createKeptLog(),
    metrics: createGatewayMetrics(),
    idleMs: () => idleMs,
    atTurnEnd: (callback) => ended.push(callback),
  });
  return {
    arrivals,
    work(ms) {
      now += ms;
    },
    wait(ms) {
      now += ms;
      idleMs += ms;
    },
    endTurn() {
      const callbacks = ended;
      ended = [];
      for (const callback of callbacks) callback();
    },
  };
}

/** Opens a connection and reads a first request, in a turn of its own. */
function openConnection(loop: ScriptedLoop): Socket {
  const socket = new Socket();
  loop.wait(10);
  loop.arrivals.accepted(socket);
  loop.arrivals.requestRead(socket);
  loop.endTurn();
  return socket;
}

describe('the estimated age of a request', () => {
  // without this, a moment of idle time before a long turn made requests that had waited through it pass for new
  it('counts the work that the loop did after it had waited for events', () => {
    const loop = createScriptedLoop();
    const socket = openConnection(loop);
    loop.wait(1);
    loop.work(400);
    const { waitedMs, at, idleAt } = loop.arrivals.requestRead(socket);
    expect(waitedMs).to.equal(200);
    expect(at - idleAt).to.equal(200);
  });

  it('is nothing where the loop was idle until then', () => {
    const loop = createScriptedLoop();
    const socket = openConnection(loop);
    loop.wait(1_000);
    expect(loop.arrivals.requestRead(socket).waitedMs).to.equal(0);
  });

  it('lies in the middle of the turn before and of what the present one has taken', () => {
    const loop = createScriptedLoop();
    const socket = openConnection(loop);
    loop.wait(5);
    loop.arrivals.requestRead(socket);
    loop.work(60);
    loop.endTurn();
    expect(loop.arrivals.requestRead(socket).waitedMs).to.equal(30);
  });
});
