/**
 * Slopes of the work itself: what nodes spend on requests and on tokens, beyond what they idle at.
 */
import { request } from 'undici';
import { KEY, MODEL, SERVICE, pause, startCluster, type Cluster } from './cluster.js';
import type { Rate } from './processes.js';
import { report, say, type Series } from './report.js';

const NODES = 3;
const ENGINES = 24;
const SERVICES = 6;
const CALL_RATES = [0, 15, 30, 60, 120];
const WARM_MS = 1_000;
/** Processes that have just started still compile their own code; they get work meanwhile. */
const COMPILE_MS = 8_000;
const WARM_TOKENS = 64;
const MEASURE_MS = 3_000;
const RATES = [0, 30, 60, 120, 240];
const FEW_TOKENS = 8;
const STEADY_RATE = 30;
const TOKEN_COUNTS = [8, 32, 64, 128, 256];
const PROMPT_WORDS = 40;
const MS_PER_SECOND = 1_000;
const SPARE_MS = 500;

interface Load {
  perSecond: number;
  /** Tokens of each answer; 0 for calls of the plain service that may not be repeated. */
  tokens: number;
}

interface Tally {
  sent: number;
  whole: number;
}

interface WorkSample {
  load: Load;
  rate: Rate;
}

async function askOnce(caller: string, index: number, tokens: number): Promise<boolean> {
  const answer = await request(`http://${caller}/v1/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${KEY}`,
      'content-type': 'application/json',
      'x-reedtally-class': 'short',
    },
    body: JSON.stringify({
      model: MODEL,
      stream: true,
      max_tokens: tokens,
      prompt: `${index} ${'word '.repeat(PROMPT_WORDS)}`,
    }),
  });
  const text = await answer.body.text();
  return answer.statusCode === 200 && text.includes('[DONE]');
}

async function callOnce(caller: string, index: number): Promise<boolean> {
  const answer = await request(`http://${caller}/v1/services/${SERVICE}/certificates`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${KEY}`,
      'content-type': 'application/json',
      'x-reedtally-class': 'once',
      'idempotency-key': `${index}-${performance.now()}`,
    },
    body: JSON.stringify({ certificate: index }),
  });
  await answer.body.dump();
  return answer.statusCode === 200;
}

/** Sends at a steady rate, whether or not answers come. */
async function send(cluster: Cluster, load: Load, forMs: number): Promise<Tally> {
  const tally = { sent: 0, whole: 0 };
  const startedAt = performance.now();
  const open: Promise<void>[] = [];
  const count = (load.perSecond * forMs) / MS_PER_SECOND;
  while (tally.sent < count) {
    const dueMs = (tally.sent * MS_PER_SECOND) / load.perSecond;
    const earlyMs = dueMs - (performance.now() - startedAt);
    if (earlyMs > 0) await pause(earlyMs);
    const caller = cluster.callers[tally.sent % cluster.callers.length] ?? '';
    const { sent } = tally;
    const asking = load.tokens > 0 ? askOnce(caller, sent, load.tokens) : callOnce(caller, sent);
    const asked = asking.then((isWhole) => {
      if (isWhole) tally.whole += 1;
    });
    open.push(asked);
    tally.sent += 1;
  }
  await Promise.all(open);
  return tally;
}

async function measureLoad(cluster: Cluster, load: Load): Promise<WorkSample> {
  const sending = send(cluster, load, WARM_MS + MEASURE_MS + SPARE_MS);
  await pause(WARM_MS);
  const rate = await cluster.measure(MEASURE_MS);
  const { sent, whole } = await sending;
  const kind = load.tokens > 0 ? `requests/s of ${load.tokens} tokens` : 'calls/s at most once';
  say(`${load.perSecond} ${kind}: ${whole} of ${sent} whole`);
  return { load, rate };
}

const columns: [keyof Rate, string, string][] = [
  ['processorMs', 'processor time of a node', 'ms/s'],
  ['peerBytes', 'bytes a node sends to peers', 'B/s'],
  ['residentMb', 'resident memory of a node', 'MB'],
  ['tableReads', 'table reads of a node', '1/s'],
  ['tableWrites', 'table writes of a node', '1/s'],
];

function createSeries(
  cause: string,
  samples: readonly WorkSample[],
  xOf: (load: Load) => number,
): Series[] {
  const series: Series[] = [];
  for (const [column, name, unit] of columns) {
    const points = samples.map(({ load, rate }) => ({ x: xOf(load) / NODES, y: rate[column] }));
    series.push({ name, cause, unit, points });
  }
  return series;
}

async function measureLoads(cluster: Cluster, loads: readonly Load[]): Promise<WorkSample[]> {
  const samples: WorkSample[] = [];
  for (const load of loads) {
    samples.push(await measureLoad(cluster, load));
  }
  return samples;
}

/** Ever more short requests, then ever longer answers at one rate, then calls at most once. */
export async function measureWork(): Promise<void> {
  const cluster = await startCluster({ nodes: NODES, engines: ENGINES, services: SERVICES });
  const perSecondOf = ({ perSecond }: Load) => perSecond;
  const tokensOf = ({ perSecond, tokens }: Load) => perSecond * tokens;
  try {
    await send(cluster, { perSecond: 2 * STEADY_RATE, tokens: WARM_TOKENS }, COMPILE_MS);
    const requests = await measureLoads(
      cluster,
      RATES.map((perSecond) => ({ perSecond, tokens: FEW_TOKENS })),
    );
    const cause = `request/s at the node, of ${FEW_TOKENS} tokens`;
    report('requests', createSeries(cause, requests, perSecondOf));
    const tokens = await measureLoads(
      cluster,
      TOKEN_COUNTS.map((count) => ({ perSecond: STEADY_RATE, tokens: count })),
    );
    report('tokens', createSeries('token/s at the node', tokens, tokensOf));
    const calls = await measureLoads(
      cluster,
      CALL_RATES.map((perSecond) => ({ perSecond, tokens: 0 })),
    );
    report('calls', createSeries('call/s at the node, at most once', calls, perSecondOf));
  } finally {
    await cluster.stop();
  }
}
