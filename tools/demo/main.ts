/**
 * The main job on a fresh machine: starts the stand-ins and three nodes of an example as separate
 * processes, applies its configuration through the command line, sends its requests, and prints
 * what became of each. Exits 0 only if every answer is whole and its own.
 */
import { existsSync } from 'node:fs';
import { defineCommand, runMain } from 'citty';
import { request } from 'undici';
import { readJson } from '../../src/settings/index.js';
import { ask, type DemoOutcome } from './ask.js';
import { startProcess, type Process } from '../common/processes.js';
import { demoRequestsSchema, type DemoRequest } from './requests.js';

const NODES = 3;
const COMMAND_LINE = 'dist/src/cli/main.js';
const STAND_INS = 'dist/stand-ins/main.js';
const READY_TIMEOUT_MS = 20_000;
const READY_POLL_MS = 100;
const SHOWN_CHARACTERS = 40;

/** Keys of the demonstration; a real deployment makes its own and keeps them secret. */
const environment = {
  REEDTALLY_PEER_KEY: 'demonstration-peer-key',
  REEDTALLY_OPERATOR_TOKEN: 'demonstration-operator-token',
};

interface NodeAddresses {
  caller: string;
  operator: string;
}

function say(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function startAll(folder: string, started: Process[]): Promise<void> {
  for (const name of ['platform', 'engines', 'services']) {
    say(`starting ${name}`);
    const args = [STAND_INS, '--settings', `${folder}/${name}.json`];
    started.push(await startProcess({ name, args, environment, readyText: '"ready":true' }));
  }
  for (let index = 1; index <= NODES; index++) {
    const name = `node-${index}`;
    say(`starting ${name}`);
    const args = [COMMAND_LINE, 'node', '--settings', `${folder}/${name}.json`];
    started.push(await startProcess({ name, args, environment, readyText: 'nodeStarted' }));
  }
}

function readAddresses(folder: string): NodeAddresses[] {
  const addresses: NodeAddresses[] = [];
  for (let index = 1; index <= NODES; index++) {
    const settings = readJson(`${folder}/node-${index}.json`).unwrap() as { listen: NodeAddresses };
    addresses.push(settings.listen);
  }
  return addresses;
}

async function applyConfiguration(folder: string, operator: string): Promise<void> {
  say('applying the configuration through the command line');
  const args = [COMMAND_LINE, 'apply', '-f', `${folder}/configuration.json`];
  const apply = await startProcess({
    name: 'apply',
    args: [...args, '--operator', `http://${operator}`],
    environment,
    readyText: 'in force',
  });
  await apply.stop();
}

/** Waits until every shard has a holder that knows its servers. */
async function waitForShards(operator: string, wanted: number): Promise<void> {
  const until = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < until) {
    const answer = await request(`http://${operator}/v1/status`, {
      headers: { authorization: `Bearer ${environment.REEDTALLY_OPERATOR_TOKEN}` },
    });
    const status = (await answer.body.json()) as { shards: { servers: { free: number }[] }[] };
    const ready = status.shards.filter(({ servers }) => servers.some(({ free }) => free > 0));
    if (ready.length >= wanted) return;
    await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
  }
  throw new Error('no holder took the backend servers in time; see the log of the nodes');
}

async function askAll(folder: string, nodes: readonly NodeAddresses[]): Promise<DemoOutcome[]> {
  const file = readJson(`${folder}/requests.json`).unwrap();
  const { requests } = demoRequestsSchema.parse(file);
  const answers = new Map<string, string>();
  const independent: Promise<DemoOutcome>[] = [];
  const dependent: DemoRequest[] = [];
  for (const [index, asked] of requests.entries()) {
    if (asked.kind === 'service' && asked.sameAnswerAs !== undefined) {
      dependent.push(asked);
      continue;
    }
    const address = nodes[index % nodes.length]?.caller ?? '';
    independent.push(ask(address, asked, answers));
  }
  const outcomes = await Promise.all(independent);
  for (const { label, answer } of outcomes) {
    answers.set(label, answer);
  }
  for (const asked of dependent) {
    outcomes.push(await ask(nodes.at(-1)?.caller ?? '', asked, answers));
  }
  return outcomes;
}

function printTable(outcomes: readonly DemoOutcome[]): void {
  say('');
  say(`${'request'.padEnd(32)}${'first token'.padStart(12)}${'total'.padStart(10)}  result`);
  for (const { label, firstTokenMs, totalMs, result, answer } of outcomes) {
    const times = `${firstTokenMs.toFixed(0).padStart(9)} ms${totalMs.toFixed(0).padStart(7)} ms`;
    say(`${label.padEnd(32)}${times}  ${result}  ${answer.slice(0, SHOWN_CHARACTERS)}…`);
  }
  say('');
}

async function stay(nodes: readonly NodeAddresses[]): Promise<void> {
  for (const { caller, operator } of nodes) {
    say(`callers: http://${caller}   operators: http://${operator}`);
  }
  say(`operators' token: ${environment.REEDTALLY_OPERATOR_TOKEN}`);
  say('press Ctrl-C to stop');
  await new Promise<void>((resolve) => {
    process.once('SIGINT', resolve);
    process.once('SIGTERM', resolve);
  });
}

async function stopAll(started: Process[]): Promise<boolean> {
  let isClean = true;
  const nodes = started.filter(({ name }) => name.startsWith('node-'));
  const codes = await Promise.all(nodes.map((node) => node.stop()));
  for (const [index, code] of codes.entries()) {
    if (code === 0) continue;
    say(`${nodes[index]?.name ?? 'a node'} ended with ${code}`);
    isClean = false;
  }
  for (const process of started) {
    if (!process.name.startsWith('node-')) await process.stop();
  }
  return isClean;
}

async function runDemo(folder: string, shouldStay: boolean): Promise<number> {
  const started: Process[] = [];
  const nodes = readAddresses(folder);
  const first = nodes[0];
  if (first === undefined) return 2;
  try {
    await startAll(folder, started);
    await applyConfiguration(folder, first.operator);
    await waitForShards(first.operator, 2);
    say('sending the requests');
    const outcomes = await askAll(folder, nodes);
    printTable(outcomes);
    if (shouldStay) await stay(nodes);
    say('stopping; nodes let callers finish first');
    const isClean = await stopAll(started);
    const whole = outcomes.filter(({ result }) => result === 'whole').length;
    say(`${whole} of ${outcomes.length} answers are whole and their own`);
    return isClean && whole === outcomes.length ? 0 : 1;
  } catch (error) {
    say(String(error));
    await stopAll(started);
    return 1;
  }
}

const command = defineCommand({
  meta: { name: 'demo', description: 'Run an example on this machine, from caller to engine' },
  args: {
    example: { type: 'string', default: 'tema', description: 'Folder in examples/' },
    stay: { type: 'boolean', description: 'Leave everything up and print the addresses' },
  },
  async run({ args }) {
    const folder = `examples/${args.example}`;
    if (!existsSync(folder)) throw new Error(`there is no ${folder}; see ls examples`);
    process.exitCode = await runDemo(folder, args.stay === true);
  },
});

await runMain(command);
