import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { expect } from 'chai';
import {
  createModelEngineStandIn,
  createObjectStoreStandIn,
  createTableStandIn,
  type RunningStandIn,
} from '../../stand-ins/index.js';

/** A program that has not ended by itself after this long is killed, and its test fails. */
const PROGRAM_TIMEOUT_MS = 20_000;

async function run(name: string, args: readonly string[]): Promise<string[]> {
  const program = `dist/examples/library/${name}.js`;
  const child = spawn(process.execPath, [program, ...args], {
    timeout: PROGRAM_TIMEOUT_MS,
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  let output = '';
  child.stdout.on('data', (piece: Buffer) => (output += piece.toString()));
  const [code] = (await once(child, 'close')) as [number | null];
  expect(code, output).to.equal(0);
  return output.trim().split('\n');
}

describe('the programs of docs/EMBEDDING.md', () => {
  const standIns: RunningStandIn[] = [];

  async function startTable(): Promise<string> {
    const table = await createTableStandIn();
    standIns.push(table);
    return table.origin;
  }

  afterEach(async () => {
    await Promise.all(standIns.splice(0).map((standIn) => standIn.stop()));
  });

  it('lease: the second process holds it after the first gave it back', async () => {
    expect(await run('lease', [await startTable()])).to.deep.equal([
      'first holds it: true',
      'first gave it back: true',
      'second holds it: true',
    ]);
  });

  it('orders: a former holder neither journals nor reaches the engine', async () => {
    const model = { roleChangeMs: 0 };
    const engine = await createModelEngineStandIn({ id: 'engine-1', checksFence: true, model });
    standIns.push(engine);
    expect(await run('orders', [await startTable(), engine.address])).to.deep.equal([
      'entry-1 journals order-1: written',
      'entry-1 sends order-1: accepted',
      'entry-2 journals order-2: written',
      'entry-2 sends order-2: accepted',
      'entry-1 journals order-3: superseded',
      'entry-1 sends order-3: stale-fence',
    ]);
  });

  it('claims: the second process gets the answer of the first', async () => {
    const store = await createObjectStoreStandIn();
    standIns.push(store);
    expect(await run('claims', [await startTable(), store.origin])).to.deep.equal([
      'ran: invoice 7 written',
      'again: invoice 7 written',
    ]);
  });

  it('configuration: a change comes into force in both processes', async () => {
    const lines = await run('configuration', [await startTable()]);
    expect(lines).to.include.members(['one has version 1 in force', 'two has version 1 in force']);
    expect(lines.slice(-2)).to.deep.equal([
      'weight at two: 2',
      'kofi, who had not seen it: conflict',
    ]);
  });

  it('permits: one at a time, the most urgent of those that wait first', async () => {
    expect(await run('permits', [])).to.deep.equal([
      'first has worker-1',
      'urgent has worker-1',
      'patient has worker-1',
    ]);
  });
});
