/**
 * The language that scenarios are written in, read with parser combinators. `docs/SCENARIOS.md` is
 * its page. A sentence a line; indentation is free and `#` begins a comment.
 */
import P, { type Parser } from 'parsimmon';
import { Err, Ok, type Result } from 'ts-results-es';
import type { PlannedEngine, PlannedZone } from '../common/index.js';
import type {
  Action,
  CutSide,
  Expectation,
  Label,
  NodeReference,
  Scenario,
  Setup,
  Step,
} from './steps.js';

/** Where a text is not in the language, and what could stand there. */
export interface Misreading {
  /** Both from 1. */
  line: number;
  column: number;
  expected: string[];
}

const MS_PER_SECOND = 1_000;

const blank = P.regexp(/[ \t]+/).desc('a space');
const margin = P.regexp(/[ \t]*/);
const comment = P.regexp(/#[^\n]*/);
const endOfLine = margin.then(comment.or(P.of(''))).then(P.newline.or(P.eof).desc('end of line'));
const emptyLines = P.regexp(/(?:[ \t]*(?:#[^\n]*)?\r?\n)*/);

const name = P.regexp(/[a-z][a-z0-9]*(?:-[a-z0-9]+)*/).desc('a name');
const count = P.regexp(/\d+/).map(Number).desc('a whole number');
const decimal = P.regexp(/\d+(?:\.\d+)?/).map(Number);
const duration = P.seqMap(
  decimal,
  P.regexp(/ms|s/).desc('ms or s'),
  (amount, unit) => amount * (unit === 's' ? MS_PER_SECOND : 1),
).desc('a time, as 3s or 250ms');
const label: Parser<Label> = P.seqMap(
  name,
  P.string('='),
  P.regexp(/[a-z0-9-]+/).desc('a value'),
  (key, _, value) => ({ key, value }),
).desc('a label, as app=none');

/** Fixed words, with free space between them. */
function words(text: string): Parser<string> {
  const pattern = text.split(' ').join('[ \\t]+');
  return P.regexp(new RegExp(`${pattern}(?![a-z0-9-])`)).desc(`"${text}"`);
}

/** Fixed words and what follows them. */
function after<Value>(text: string, value: Parser<Value>): Parser<Value> {
  return words(text).then(blank).then(value);
}

const names = name.sepBy1(margin.then(P.string(',')).then(margin));

const nodeReference: Parser<NodeReference> = P.alt<NodeReference>(
  after('node', name).map((node) => ({ node })),
  after('the holder of', name).map((holderOf) => ({ holderOf })),
);

const cutSide: Parser<CutSide> = P.alt(
  P.string('table'),
  P.string('list'),
  P.string('peers'),
  P.string('servers'),
);

const nodeActions: Parser<Action>[] = [
  words('kill every node').result({ kind: 'kill-every-node' }),
  after('kill', nodeReference).map((node) => ({ kind: 'kill-node', node })),
  words('start killed nodes').result({ kind: 'start-killed-nodes' }),
  after('stop', nodeReference).map((node) => ({ kind: 'stop-node', node })),
  P.seqMap(after('pause', nodeReference), blank.then(after('for', duration)), (node, ms) => {
    return { kind: 'pause-node', node, ms };
  }),
  after('pause', nodeReference).map((node) => ({ kind: 'begin-pause', node })),
  words('resume paused nodes').result({ kind: 'resume-paused-nodes' }),
  words('replace every node one by one under load').result({ kind: 'replace-every-node' }),
  P.seqMap(
    after('cut', nodeReference),
    blank.then(after('from', cutSide)),
    blank.then(after('for', duration)),
    (node, side, ms) => ({ kind: 'cut', node, side, ms }),
  ),
  after('lose zone', name).map((zone) => ({ kind: 'lose-zone', zone })),
];

const tableActions: Parser<Action>[] = [
  after('table down for', duration).map((ms) => ({ kind: 'table-down', ms })),
  words('table goes down').result({ kind: 'table-goes-down' }),
  words('table comes back').result({ kind: 'table-comes-back' }),
  after('table hangs for', duration).map((ms) => ({ kind: 'table-hangs', ms })),
  P.seqMap(after('table slow by', duration), blank.then(after('for', duration)), (byMs, ms) => {
    return { kind: 'table-slow', byMs, ms };
  }),
  after('table loses', count)
    .skip(blank.then(words('answers')))
    .map((answers) => ({ kind: 'table-loses', answers })),
];

const operatorActions: Parser<Action>[] = [
  after('drain vm', name).map((server) => ({ kind: 'drain', server })),
  after('undrain vm', name).map((server) => ({ kind: 'undrain', server })),
  P.seqMap(after('label vm', name), blank.then(label), (server, set) => {
    return { kind: 'label', server, label: set };
  }),
  P.seqMap(
    after('two operators label vm', name),
    blank.then(after('with', label)),
    blank.then(after('and', label)),
    (server, first, second) => ({ kind: 'two-operators', server, first, second }),
  ),
  words('an operator watches every node').result({ kind: 'watch' }),
  after('load adapter', name)
    .skip(blank.then(words('on the engines')))
    .map((adapter) => ({ kind: 'load-adapter', adapter })),
];

const times = count.skip(blank.then(words('times')));

const serverActions: Parser<Action>[] = [
  P.seqMap(after('crash engine', name), blank.then(after('for', duration)), (engine, ms) => {
    return { kind: 'crash-engine', engine, ms };
  }),
  P.seqMap(
    after('engine', name),
    blank.then(
      after(
        'answers',
        P.alt(
          P.string('crossed'),
          P.string('twice'),
          P.string('late'),
          P.string('broken'),
          P.string('stalled'),
        ),
      ),
    ),
    blank.then(times),
    (engine, how, amount) => ({ kind: 'engine-answers', engine, how, count: amount }),
  ),
  P.seqMap(
    after('service', name),
    blank.then(after('loses', count)).skip(blank.then(words('answers'))),
    (service, answers) => ({ kind: 'service-loses', service, answers }),
  ),
  after('server', name)
    .skip(blank.then(words('says that it leaves')))
    .map((server) => ({ kind: 'server-says-leave', server })),
  after('list says that', name)
    .skip(blank.then(words('leaves')))
    .map((server) => ({ kind: 'list-says-leave', server })),
];

const loadActions: Parser<Action>[] = [
  after('start load of', decimal)
    .skip(blank.then(words('requests a second')))
    .map((perSecond) => ({ kind: 'start-load', perSecond })),
  words('stop load').result({ kind: 'stop-load' }),
  after('wait for', count)
    .skip(blank.then(words('orders')))
    .map((orders) => ({ kind: 'wait-for-orders', count: orders })),
  after('wait', duration).map((ms) => ({ kind: 'wait', ms })),
  words('ask once with one key at every node').result({ kind: 'same-key' }),
  words('ask again with that key').result({ kind: 'same-key-again' }),
  words('ask with that key and another body').result({ kind: 'other-body' }),
];

const expectations: Parser<Expectation>[] = [
  words('every answer whole and own').result({ kind: 'answers-whole' }),
  words('every request answered').result({ kind: 'every-request-answered' }),
  words('every repeatable request answered').result({ kind: 'every-repeatable-answered' }),
  words('every refusal true').result({ kind: 'refusals-true' }),
  words('no execution twice').result({ kind: 'no-execution-twice' }),
  words('no conflicting orders').result({ kind: 'no-conflicting-orders' }),
  words('no order under an old fencing number').result({ kind: 'no-stale-order' }),
  words('no request cut').result({ kind: 'no-cut' }),
  after('at least', count)
    .skip(blank.then(words('orders')))
    .map((amount) => ({ kind: 'orders-at-least', count: amount })),
  P.seqMap(after('no new work at', name), blank.then(after('after', duration)), (server, ms) => {
    return { kind: 'no-new-work', server, afterMs: ms };
  }),
  after('the change in force on all nodes within', duration).map((withinMs) => {
    return { kind: 'change-in-force', withinMs };
  }),
  words('the configuration never reverts').result({ kind: 'never-reverts' }),
  after('every node ready within', duration).map((withinMs) => {
    return { kind: 'every-node-ready', withinMs };
  }),
  after('every node serving within', duration).map((withinMs) => {
    return { kind: 'every-node-serving', withinMs };
  }),
  words('some requests refused').result({ kind: 'some-refused' }),
  words('exactly one accepted').result({ kind: 'one-accepted' }),
  after('refusal', name).map((code) => ({ kind: 'refused-with', code })),
];

const sentence: Parser<Action | Expectation> = P.alt<Action | Expectation>(
  after('expect', P.alt(...expectations)),
  ...loadActions,
  ...nodeActions,
  ...tableActions,
  ...operatorActions,
  ...serverActions,
);

const engines: Parser<PlannedEngine[]> = P.seqMap(
  after('engines', names),
  blank.then(words('ignoring fencing numbers')).result(false).or(P.of(true)),
  (ids, checksFence) => ids.map((id) => ({ id, checksFence })),
);

type ZonePart = Partial<Omit<PlannedZone, 'zone'>>;

const zonePart: Parser<ZonePart> = P.alt<ZonePart>(
  after('nodes', names).map((nodes) => ({ nodes })),
  engines.map((list) => ({ engines: list })),
  after('services', names).map((services) => ({ services })),
);

const semicolon = margin.then(P.string(';')).then(margin);

const zoneLine: Parser<PlannedZone> = P.seqMap(
  after('zone', name),
  margin.then(P.string(':')).then(margin).then(zonePart.sepBy1(semicolon)),
  createZone,
);

function createZone(zone: string, parts: ZonePart[]): PlannedZone {
  const made: PlannedZone = { zone, nodes: [], engines: [], services: [] };
  for (const part of parts) {
    made.nodes.push(...(part.nodes ?? []));
    made.engines.push(...(part.engines ?? []));
    made.services.push(...(part.services ?? []));
  }
  return made;
}

function line<Value>(content: Parser<Value>): Parser<Value> {
  return emptyLines.then(margin).then(content).skip(endOfLine);
}

const setupLine = P.seqMap(
  after('with', name),
  blank.then(after('and a list that lags', duration)).or(P.of(0)),
  (example, listLagMs) => ({ example, listLagMs }),
);

const setup: Parser<Setup> = P.seqMap(
  line(setupLine),
  line(zoneLine).atLeast(1),
  (begin, zones) => ({ ...begin, zones }),
);

const step: Parser<Step> = line(
  P.seqMap(P.index, sentence.mark(), ({ line: number }, { value }) => {
    return { line: number, text: '', does: value };
  }),
);

const title = P.regexp(/[^\n]*[^\s]/).desc('a sentence');

const scenario: Parser<Scenario> = P.seqMap(
  emptyLines.then(margin).then(P.index),
  line(after('scenario', title)),
  setup,
  step.atLeast(1),
  (at, text, made, steps) => ({ name: text.trim(), line: at.line, setup: made, steps }),
);

const file = scenario.atLeast(1).skip(emptyLines).skip(margin);

/**
 * Reads a file of scenarios.
 *
 * @param text the file's content
 */
export function parseScenarios(text: string): Result<Scenario[], Misreading> {
  const parsed = file.parse(text);
  if (!parsed.status) {
    const { line: at, column } = parsed.index;
    return Err({ line: at, column, expected: [...new Set(parsed.expected)].sort() });
  }
  const lines = text.split('\n');
  for (const { steps } of parsed.value) {
    for (const one of steps) one.text = (lines[one.line - 1] ?? '').replace(/#.*/, '').trim();
  }
  return Ok(parsed.value);
}

/** Says in one line where a file is not in the language. */
export function describeMisreading(path: string, misreading: Misreading): string {
  const { line: at, column, expected } = misreading;
  return `${path}:${at}:${column}: expected ${expected.join(', or ')}`;
}
