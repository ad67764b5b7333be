/**
 * The typed form of a scenario: what the language's sentences mean. Times are in milliseconds.
 */
import type { PlannedZone } from '../common/index.js';

/** What a node can be cut from. */
export type CutSide = 'table' | 'list' | 'peers' | 'servers';

/** How an engine misbehaves on its next streams. */
export type EngineMischief = 'crossed' | 'twice' | 'late' | 'broken' | 'stalled';

/** A node by its name, or as the holder of a backend server's shard at that moment. */
export type NodeReference = { node: string } | { holderOf: string };

/** Something that a scenario does. */
export type Action =
  | { kind: 'start-load'; perSecond: number }
  | { kind: 'stop-load' }
  | { kind: 'wait'; ms: number }
  | { kind: 'wait-for-orders'; count: number }
  | { kind: 'kill-node'; node: NodeReference }
  | { kind: 'kill-every-node' }
  | { kind: 'start-killed-nodes' }
  | { kind: 'stop-node'; node: NodeReference }
  | { kind: 'pause-node'; node: NodeReference; ms: number }
  | { kind: 'begin-pause'; node: NodeReference }
  | { kind: 'resume-paused-nodes' }
  | { kind: 'replace-every-node' }
  | { kind: 'cut'; node: NodeReference; side: CutSide; ms: number }
  | { kind: 'table-down'; ms: number }
  | { kind: 'table-goes-down' }
  | { kind: 'table-comes-back' }
  | { kind: 'table-hangs'; ms: number }
  | { kind: 'table-slow'; byMs: number; ms: number }
  | { kind: 'table-loses'; answers: number }
  | { kind: 'drain'; server: string }
  | { kind: 'undrain'; server: string }
  | { kind: 'label'; server: string; label: Label }
  | { kind: 'two-operators'; server: string; first: Label; second: Label }
  | { kind: 'load-adapter'; adapter: string }
  | { kind: 'crash-engine'; engine: string; ms: number }
  | { kind: 'engine-answers'; engine: string; how: EngineMischief; count: number }
  | { kind: 'service-loses'; service: string; answers: number }
  | { kind: 'server-says-leave'; server: string }
  | { kind: 'list-says-leave'; server: string }
  | { kind: 'lose-zone'; zone: string }
  | { kind: 'watch' }
  | { kind: 'same-key' }
  | { kind: 'same-key-again' }
  | { kind: 'other-body' };

/** Something that a scenario checks. */
export type Expectation =
  | { kind: 'answers-whole' }
  | { kind: 'every-request-answered' }
  | { kind: 'every-repeatable-answered' }
  | { kind: 'refusals-true' }
  | { kind: 'no-execution-twice' }
  | { kind: 'no-conflicting-orders' }
  | { kind: 'no-stale-order' }
  | { kind: 'orders-at-least'; count: number }
  | { kind: 'no-cut' }
  | { kind: 'no-new-work'; server: string; afterMs: number }
  | { kind: 'change-in-force'; withinMs: number }
  | { kind: 'never-reverts' }
  | { kind: 'every-node-ready'; withinMs: number }
  | { kind: 'every-node-serving'; withinMs: number }
  | { kind: 'some-refused' }
  | { kind: 'one-accepted' }
  | { kind: 'refused-with'; code: string };

const expectationKinds: ReadonlySet<string> = new Set<Expectation['kind']>([
  'answers-whole',
  'every-request-answered',
  'every-repeatable-answered',
  'refusals-true',
  'no-execution-twice',
  'no-conflicting-orders',
  'no-stale-order',
  'orders-at-least',
  'no-cut',
  'no-new-work',
  'change-in-force',
  'never-reverts',
  'every-node-ready',
  'every-node-serving',
  'some-refused',
  'one-accepted',
  'refused-with',
]);

/** Tells what is checked from what is done. */
export function isExpectation(does: Action | Expectation): does is Expectation {
  return expectationKinds.has(does.kind);
}

/** A label to set. */
export interface Label {
  key: string;
  value: string;
}

/** One line of a scenario. */
export interface Step {
  line: number;
  /** The line as it was written. */
  text: string;
  does: Action | Expectation;
}

/** What a scenario runs on. */
export interface Setup {
  /** Folder in `examples/` that gives teams, classes, bindings and requests. */
  example: string;
  listLagMs: number;
  zones: PlannedZone[];
}

/** One scenario. */
export interface Scenario {
  name: string;
  line: number;
  setup: Setup;
  steps: Step[];
}
