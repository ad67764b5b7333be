/**
 * A stand-in for the users' platform's store: rows in tables under one version counter, conditional
 * transactions, and feeds of changes that are held until there is one. Faults are set from outside.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

interface StoredRow {
  table: string;
  key: string;
  value: string | undefined;
  ver: number;
}

interface Transaction {
  expected?: { table: string; key: string; ver: number }[];
  puts?: { table: string; key: string; value: string }[];
  remove?: { table: string; key: string }[];
}

/** What the store does to calls, as long as it is set. */
export type StoreFault = 'none' | 'busy' | 'silent' | 'answers-lost';

/** A copy of what the store held. */
export interface StoreCopy {
  rows: ReadonlyMap<string, StoredRow>;
  version: number;
}

/** The stand-in. */
export interface StoreStandIn {
  address: string;
  /** Writes a row past all conditions, as the operator and the servers do. */
  put(table: string, key: string, value: unknown): number;
  remove(table: string, key: string): void;
  /** Value of a row; `undefined` when there is none. */
  read(table: string, key: string): unknown;
  /** Forgets the history before now: feeds that go on from there get 410. */
  compact(): void;
  /** Keeps a copy of everything as it is now. */
  copy(): StoreCopy;
  /** Puts a copy in the place of everything: versions go back, and the era rises by one. */
  restore(copy: StoreCopy): void;
  setFault(fault: StoreFault): void;
  /**
   * Listens at a further address whose callers see other addresses of servers, as where each reaches them by paths
   * of its own.
   *
   * @param seenAddressOf the address that these callers see instead of a server's own
   * @returns `host:port`
   */
  view(seenAddressOf: (address: string) => string): Promise<string>;
  /** Calls so far, as method and path. */
  calls(): readonly string[];
  close(): Promise<void>;
}

/** How a caller sees a row. */
type RowView = (row: StoredRow) => StoredRow;

/** Starts the stand-in on a free port. */
export async function startStoreStandIn(): Promise<StoreStandIn> {
  const rows = new Map<string, StoredRow>();
  const waiting = new Set<() => void>();
  const calls: string[] = [];
  const servers: Server[] = [];
  let version = 0;
  let era = 1;
  let forgottenUntil = 0;
  let fault: StoreFault = 'none';

  function write(changes: readonly Omit<StoredRow, 'ver'>[]): number {
    version += 1;
    for (const change of changes) {
      rows.set(`${change.table}/${change.key}`, { ...change, ver: version });
    }
    for (const wake of [...waiting]) {
      wake();
    }
    return version;
  }

  function answer(response: ServerResponse, status: number, body: unknown): void {
    if (fault === 'answers-lost') {
      response.destroy();
      return;
    }
    response.writeHead(status, { 'Content-Type': 'application/json', 'Store-Era': era });
    response.end(JSON.stringify(body));
  }

  function transact(response: ServerResponse, text: string): void {
    const { expected = [], puts = [], remove = [] } = JSON.parse(text) as Transaction;
    const conflicts = [];
    for (const { table, key, ver } of expected) {
      const row = rows.get(`${table}/${key}`);
      const current = row?.value === undefined ? 0 : row.ver;
      if (current !== ver) conflicts.push({ table, key, ver: current });
    }
    if (conflicts.length > 0) {
      answer(response, 412, { rows: conflicts, ver: version });
      return;
    }
    const removed = remove.map(({ table, key }) => ({ table, key, value: undefined }));
    answer(response, 200, { ver: write([...puts, ...removed]), nowMs: performance.now() });
  }

  function readRange(response: ServerResponse, query: URLSearchParams, see: RowView): void {
    const source = query.get('source') ?? '';
    const to = query.get('to') ?? '\uffff';
    const found = [];
    for (const row of rows.values()) {
      const isInside = row.key >= source && row.key < to;
      if (row.table === query.get('table') && row.value !== undefined && isInside) found.push(row);
    }
    found.sort((left, right) => (left.key < right.key ? -1 : 1));
    const limit = Number(query.get('limit') ?? 500);
    const hasMore = found.length > limit;
    answer(response, 200, {
      rows: found.slice(0, limit).map(see),
      hasMore,
      ver: version,
      nowMs: performance.now(),
    });
  }

  function readFeed(response: ServerResponse, query: URLSearchParams, see: RowView): void {
    const after = Number(query.get('after'));
    if (after < forgottenUntil || after > version) {
      answer(response, 410, {});
      return;
    }
    const changed = [];
    for (const row of rows.values()) {
      if (row.table !== query.get('table') || row.ver <= after) continue;
      changed.push(row.value === undefined ? { ...row, deleted: true } : see(row));
    }
    if (changed.length > 0) {
      answer(response, 200, { rows: changed, ver: version, nowMs: performance.now() });
      return;
    }
    holdFeed(response, query, see);
  }

  function holdFeed(response: ServerResponse, query: URLSearchParams, see: RowView): void {
    const timer = setTimeout(
      () => {
        waiting.delete(wake);
        answer(response, 200, { rows: [], ver: version, nowMs: performance.now() });
      },
      Number(query.get('waitMs')),
    );
    function forget(): void {
      clearTimeout(timer);
      waiting.delete(wake);
    }
    function wake(): void {
      forget();
      response.off('close', forget);
      readFeed(response, query, see);
    }
    waiting.add(wake);
    response.once('close', forget);
  }

  async function receive(
    request: IncomingMessage,
    response: ServerResponse,
    see: RowView,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    calls.push(`${request.method ?? ''} ${url.pathname}`);
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
    }
    if (fault === 'silent') return;
    if (fault === 'busy') {
      response.writeHead(503, { 'Store-Era': era }).end();
      return;
    }
    if (url.pathname === '/rows-tx') transact(response, Buffer.concat(chunks).toString('utf8'));
    else if (url.pathname === '/rows-get') readRange(response, url.searchParams, see);
    else if (url.pathname === '/rows-feed') readFeed(response, url.searchParams, see);
    else answer(response, 404, {});
  }

  async function serve(see: RowView): Promise<Server> {
    const server = createServer((request, response) => {
      void receive(request, response, see);
    });
    await listen(server);
    servers.push(server);
    return server;
  }

  const server = await serve((row) => row);

  return {
    address: addressOf(server),
    put: (table, key, value) =>
      write([{ table, key, value: Buffer.from(JSON.stringify(value)).toString('base64') }]),
    remove(table, key) {
      write([{ table, key, value: undefined }]);
    },
    read(table, key) {
      const value = rows.get(`${table}/${key}`)?.value;
      if (value === undefined) return undefined;
      return JSON.parse(Buffer.from(value, 'base64').toString('utf8')) as unknown;
    },
    compact() {
      forgottenUntil = version;
    },
    copy: () => ({ rows: new Map(rows), version }),
    restore(copy) {
      rows.clear();
      for (const [key, row] of copy.rows) rows.set(key, row);
      ({ version } = copy);
      era += 1;
      // calls that were held across the restore are lost with the store that held them
      for (const listening of servers) listening.closeAllConnections();
    },
    setFault(next) {
      fault = next;
    },
    async view(seenAddressOf) {
      return addressOf(await serve((row) => replaceAddress(row, seenAddressOf)));
    },
    calls: () => calls,
    async close() {
      await Promise.all(servers.map(closeServer));
    },
  };
}

function replaceAddress(row: StoredRow, seenAddressOf: (address: string) => string): StoredRow {
  if (row.table !== 'servers' || row.value === undefined) return row;
  const entry = JSON.parse(Buffer.from(row.value, 'base64').toString('utf8')) as {
    address?: unknown;
  };
  if (typeof entry.address !== 'string') return row;
  const seen = { ...entry, address: seenAddressOf(entry.address) };
  return { ...row, value: Buffer.from(JSON.stringify(seen)).toString('base64') };
}

/** Listens on a free port of this machine. */
export function listen(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
}

/** `host:port` of a server that listens. */
export function addressOf(server: Server): string {
  const { address, port } = server.address() as AddressInfo;
  return `${address}:${port}`;
}

/** Closes a server with all its connections. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}
