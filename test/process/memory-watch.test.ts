import { expect } from 'chai';
import { watchMemory, type MemoryWatch } from '../../src/process/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';
import { createKeptLog, type KeptLog } from '../fixtures/gateway.js';

const MB = 1_048_576;
const LIMIT_MB = 350;

describe('the watch on memory', () => {
  let clock: ReturnType<typeof createFakeClock>;
  let log: KeptLog;
  let rssMb: number;
  let limitMb: number | undefined;
  let observed: number[];
  let watch: MemoryWatch;

  beforeEach(() => {
    clock = createFakeClock();
    log = createKeptLog();
    rssMb = 100;
    limitMb = LIMIT_MB;
    observed = [];
    watch = watchMemory({
      clock: clock.clock,
      log,
      limitBytes: () => (limitMb === undefined ? undefined : limitMb * MB),
      read: () => ({ rss: rssMb * MB, heapUsed: 40 * MB, external: 30 * MB }),
      holders: () => ({ a: 1, b: 7, c: 3, d: 2, e: 9, f: 4 }),
      observed: ({ rss }) => observed.push(rss / MB),
    });
  });

  async function read(mb: number): Promise<string[]> {
    const before = log.lines.length;
    rssMb = mb;
    await clock.advance(1_000);
    return log.lines.slice(before).map(({ event }) => event);
  }

  it('says what is held, the largest holders first, when memory comes near the limit', async () => {
    expect(await read(200)).to.deep.equal([]);
    expect(await read(260)).to.deep.equal(['memoryHigh']);
    expect(log.lines[0]?.fields).to.deep.equal({
      rssMb: 260,
      heapMb: 40,
      externalMb: 30,
      limitMb: LIMIT_MB,
      holders: { e: 9, b: 7, f: 4, c: 3, d: 2 },
    });
  });

  it('says so again only when it has grown further, and when it is well below', async () => {
    await read(260);
    expect(await read(262)).to.deep.equal([]);
    expect(await read(310)).to.deep.equal(['memoryHigh']);
    expect(await read(200)).to.deep.equal(['memoryEased']);
    expect(await read(200)).to.deep.equal([]);
    expect(await read(260)).to.deep.equal(['memoryHigh']);
  });

  it('only counts where no limit is known', async () => {
    limitMb = undefined;
    expect(await read(2_000)).to.deep.equal([]);
    expect(observed).to.deep.equal([2_000]);
  });

  it('ends when it is told to', async () => {
    watch.stop();
    expect(await read(340)).to.deep.equal([]);
    expect(observed).to.deep.equal([]);
  });
});
