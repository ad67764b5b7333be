/**
 * Whether the tools of a run were fast enough for its figures to mean anything: the processor time
 * of the stand-ins, and how promptly they answer. Reads `/proc`, so it works on Linux alone.
 */
import { readFileSync } from 'node:fs';
import { request } from 'undici';
import type { Process } from '../common/processes.js';

/** How busy and how prompt the stand-ins were. */
export interface StandInHealth {
  /** Processor time of the busiest process as a share of one core. */
  busiestCpuShare: number;
  /** 99th percentile of the time of an empty exchange with an engine, in milliseconds. */
  probeP99Ms: number;
}

/** Watches the stand-ins of a deployment. */
export interface HealthWatch {
  stop(): StandInHealth;
}

const PROBE_EVERY_MS = 200;
const TICKS_PER_SECOND = 100;
const MS_PER_SECOND = 1_000;
const P99 = 0.99;
/** Positions in `/proc/<pid>/stat` after the process's name. */
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;

/**
 * Begins to watch.
 *
 * @param processes the stand-ins' processes
 * @param addresses the engines' addresses
 */
export function watchHealth(
  processes: readonly Process[],
  addresses: readonly string[],
): HealthWatch {
  const startedAt = performance.now();
  const before = processes.map(({ pid }) => readCpuMs(pid));
  const probes: number[] = [];
  const timer = setInterval(() => {
    for (const address of addresses) {
      void probe(address).then((tookMs) => probes.push(tookMs));
    }
  }, PROBE_EVERY_MS);

  return {
    stop() {
      clearInterval(timer);
      const elapsedMs = performance.now() - startedAt;
      let busiest = 0;
      for (const [index, { pid }] of processes.entries()) {
        const used = readCpuMs(pid) - (before[index] ?? 0);
        busiest = Math.max(busiest, used / elapsedMs);
      }
      probes.sort((left, right) => left - right);
      const probeP99Ms = probes[Math.floor(probes.length * P99)] ?? 0;
      return { busiestCpuShare: busiest, probeP99Ms };
    },
  };
}

async function probe(address: string): Promise<number> {
  const startedAt = performance.now();
  try {
    const answer = await request(`http://${address}/v1/state`);
    await answer.body.dump();
  } catch {
    return 0;
  }
  return performance.now() - startedAt;
}

/** @returns processor time so far in milliseconds; 0 for a process that is gone */
function readCpuMs(pid: number): number {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS]);
    return (ticks * MS_PER_SECOND) / TICKS_PER_SECOND;
  } catch {
    return 0;
  }
}
