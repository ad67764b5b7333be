/**
 * A bounded open-loop load: requests begin at a steady rate whatever becomes of the earlier ones.
 */
import type { Agent } from 'undici';
import { readJson } from '../../src/settings/index.js';
import { storedObjectSchema, type StoredObject } from '../../src/configuration/index.js';
import { z } from 'zod';
import type { ClusterPlan } from '../common/index.js';
import { demoRequestsSchema, type DemoRequest } from '../demo/requests.js';
import { createCallers, type Callers } from './callers.js';
import type { Outcome } from './outcomes.js';
import { createAsked, type Asked } from './sending.js';

const MAX_IN_FLIGHT = 400;
const MS_PER_SECOND = 1_000;

const objectsSchema = z.object({ objects: z.array(storedObjectSchema) });

/** What an example gives to a scenario. */
export interface Example {
  objects: StoredObject[];
  requests: DemoRequest[];
}

/** Reads an example's configuration and requests. */
export function readExample(name: string): Example {
  const folder = `examples/${name}`;
  const { objects } = objectsSchema.parse(readJson(`${folder}/configuration.json`).unwrap());
  const { requests } = demoRequestsSchema.parse(readJson(`${folder}/requests.json`).unwrap());
  const first = (asked: DemoRequest) => asked.kind !== 'service' || !asked.sameAnswerAs;
  return { objects, requests: requests.filter(first) };
}

/** The load of a scenario. */
export interface Load {
  start(perSecond: number): void;
  /** Begins no more requests and waits for those that run. */
  stop(): Promise<void>;
  /** Makes one billed call that is not part of the steady load. */
  createBilled(): Asked;
  outcomes: Outcome[];
  /** Requests that were not begun because too many were running. */
  skipped(): number;
}

/**
 * Creates a load that has not begun.
 *
 * @param plan the cluster
 * @param example where its requests come from
 * @param agent the callers' connections
 * @param prefix begins the names of its requests
 */
export function createLoad(
  plan: ClusterPlan,
  example: Example,
  agent: Agent,
  prefix: string,
): Load {
  const callers: Callers[] = [];
  for (const { zone } of plan.zones) callers.push(createCallers(plan, agent, zone));
  const running = new Set<Promise<void>>();
  const outcomes: Outcome[] = [];
  let serial = 0;
  let skipped = 0;
  let timer: NodeJS.Timeout | undefined;

  function create(shipped: DemoRequest): Asked {
    serial += 1;
    const { isRepeatable, deadlineMs } = resolveClass(example, shipped.class);
    return createAsked(shipped, `${prefix}-${serial}`, isRepeatable, deadlineMs);
  }

  function begin(): void {
    if (running.size >= MAX_IN_FLIGHT) {
      skipped += 1;
      return;
    }
    const shipped = example.requests[serial % example.requests.length];
    const caller = callers[serial % callers.length];
    if (shipped === undefined || caller === undefined) return;
    const run = caller.ask(create(shipped)).then((outcome) => {
      outcomes.push(outcome);
      running.delete(run);
    });
    running.add(run);
  }

  return {
    start(perSecond) {
      clearInterval(timer);
      timer = setInterval(begin, MS_PER_SECOND / perSecond);
    },
    async stop() {
      clearInterval(timer);
      while (running.size > 0) await Promise.all(running);
    },
    createBilled() {
      const isBilled = (one: DemoRequest) => {
        return one.kind === 'service' && !resolveClass(example, one.class).isRepeatable;
      };
      const shipped = example.requests.find(isBilled);
      if (shipped === undefined) throw new Error('the example has no billed call');
      return create(shipped);
    },
    outcomes,
    skipped: () => skipped,
  };
}

function resolveClass(example: Example, name: string) {
  for (const object of example.objects) {
    if (object.kind !== 'class' || object.name !== name) continue;
    return { isRepeatable: object.repeatable, deadlineMs: object.deadlineMs };
  }
  throw new Error(`the example has no class "${name}"`);
}
