import { expect } from 'chai';
import { publishAddress } from '../../src/gateway/publish-address.js';
import { createFakeClock } from '../fixtures/fake-clock.js';
import { createKeptLog } from '../fixtures/gateway.js';
import { createMemoryTable } from '../fixtures/memory-table.js';

describe('a gateway that publishes its address', () => {
  function start({ table }: ReturnType<typeof createMemoryTable>) {
    const log = createKeptLog();
    const found: string[] = [];
    const publishing = publishAddress({
      table,
      clock: createFakeClock().clock,
      log,
      address: { node: 'node-1', address: '127.0.0.1:1' },
      signal: new AbortController().signal,
      found: (address) => found.push(address),
    });
    return { log, found, publishing };
  }

  function eventsOf({ log }: ReturnType<typeof start>): string[] {
    return log.lines.map(({ event }) => event);
  }

  it('says nothing where none of its name has run, or the one before stopped gracefully', async () => {
    const table = createMemoryTable();
    const first = start(table);
    await first.publishing.done;
    await first.publishing.withdraw();
    const second = start(table);
    await second.publishing.done;
    expect(eventsOf(first)).to.deep.equal([]);
    expect(eventsOf(second)).to.deep.equal([]);
    expect(second.found).to.deep.equal(['127.0.0.1:1']);
  });

  it('says that the process before did not stop gracefully where its row is still there', async () => {
    const table = createMemoryTable();
    await start(table).publishing.done;
    const second = start(table);
    await second.publishing.done;
    expect(eventsOf(second)).to.deep.equal(['gatewayEndedUnstopped']);
    expect(second.found).to.deep.equal(['127.0.0.1:1']);
  });
});
