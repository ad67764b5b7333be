// Guards against notices of one server that contradict each other and are passed on among gateways without end.
import { expect } from 'chai';
import { createBackpressure, type Backpressure } from '../../src/backpressure/index.js';
import { createSilentLog } from '../../src/events/index.js';
import type { RegisteredServer } from '../../src/fleet/index.js';
import { createGatewayMetrics } from '../../src/metrics/index.js';
import { createSeededRandom } from '../../src/task/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

const GATEWAYS = 6;
/** Messages after which the network counts as never quiet. */
const MAX_MESSAGES = 2_000;

const server: RegisteredServer = {
  id: 's@1',
  service: 'pages',
  address: '127.0.0.1:1',
  zone: 'a',
  slots: 8,
  isLeaving: false,
  role: undefined,
  warmUpMs: 0,
};

function limit(limitPerS: number | undefined) {
  return { isLeaving: false, limitPerS, pauseMs: undefined, unreadable: [] };
}

/** Gateways that are all linked; messages take a drawn time, up to the largest. */
function setUp(maxDelayMs: number, seed: number) {
  const { clock, advance } = createFakeClock();
  const random = createSeededRandom(seed);
  const gateways: Backpressure[] = [];
  let messages = 0;
  for (let index = 0; index < GATEWAYS; index += 1) {
    const node = `node-${index}`;
    gateways.push(
      createBackpressure({
        clock,
        random,
        log: createSilentLog(),
        metrics: createGatewayMetrics(),
        node,
        timeOfDay: () => clock.now() + 1_000 * index,
        allocatorOf: () => 'node-0',
        gateways: () => GATEWAYS,
        serverLeaving: () => undefined,
        broadcast(message) {
          for (const [other, gateway] of gateways.entries()) {
            if (other === index || messages >= MAX_MESSAGES) continue;
            messages += 1;
            clock.after(maxDelayMs * random.next(), () => {
              gateway.received(node, message);
            });
          }
        },
        send: () => true,
      }),
    );
  }
  return { gateways, advance, messages: () => messages };
}

function isAlike(gateways: readonly Backpressure[]): boolean {
  return new Set(gateways.map((gateway) => gateway.digest())).size === 1;
}

describe('notices of one server that contradict each other', () => {
  for (const maxDelayMs of [5, 500, 4_000]) {
    it(`come to rest, with the same result everywhere, if messages take up to ${maxDelayMs} ms`, async () => {
      const { gateways, advance, messages } = setUp(maxDelayMs, maxDelayMs);
      const answers = [4, 8, undefined, 2];
      for (const [index, limitPerS] of answers.entries()) {
        gateways[index + 1]?.signalsReceived(server, limit(limitPerS), true);
        await advance(1);
      }
      await advance(60_000);
      // each gateway passes the notice of an answer on once, to all others
      expect(messages()).to.be.at.most(answers.length * GATEWAYS * (GATEWAYS - 1));
      expect(isAlike(gateways)).to.equal(true);
    });
  }
});
