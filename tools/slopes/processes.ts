/**
 * What running processes use, as the operating system and their own metrics say.
 */
import { readFileSync } from 'node:fs';
import { request } from 'undici';

const TICKS_PER_SECOND = 100;
const MS_PER_SECOND = 1_000;
const KB_PER_MB = 1_024;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** A node as measurements see it. */
export interface MeasuredNode {
  pid: number;
  operator: string;
}

/** What nodes used up to a moment, summed over them. */
export interface Usage {
  atMs: number;
  nodes: number;
  processorMs: number;
  residentMb: number;
  peerBytesSent: number;
  tableReads: number;
  tableWrites: number;
}

/** What one node uses a second, on the average. */
export interface Rate {
  /** Processor time, in milliseconds a second. */
  processorMs: number;
  /** Resident memory, in MB. */
  residentMb: number;
  /** Bytes sent to other nodes a second; as many are received. */
  peerBytes: number;
  tableReads: number;
  tableWrites: number;
}

/**
 * Reads what nodes have used so far.
 *
 * @param nodes the nodes
 */
export async function readUsage(nodes: readonly MeasuredNode[]): Promise<Usage> {
  const usage: Usage = {
    atMs: performance.now(),
    nodes: nodes.length,
    processorMs: 0,
    residentMb: 0,
    peerBytesSent: 0,
    tableReads: 0,
    tableWrites: 0,
  };
  for (const { pid } of nodes) {
    usage.processorMs += readProcessorMs(pid);
    usage.residentMb += readResidentMb(pid);
  }
  for (const metrics of await Promise.all(nodes.map(readMetrics))) {
    usage.peerBytesSent += sum(metrics, 'reedtally_peer_bytes_total', 'direction="sent"');
    usage.tableWrites += sum(metrics, 'reedtally_table_calls_total', 'operation="transact"');
    usage.tableReads += sum(metrics, 'reedtally_table_calls_total', 'operation="get"');
    usage.tableReads += sum(metrics, 'reedtally_table_calls_total', 'operation="range"');
  }
  return usage;
}

/**
 * The average of one node between two readings.
 *
 * @param before the earlier reading
 * @param after the later reading
 */
export function resolveRate(before: Usage, after: Usage): Rate {
  const nodeSeconds = ((after.atMs - before.atMs) / MS_PER_SECOND) * after.nodes;
  return {
    processorMs: (after.processorMs - before.processorMs) / nodeSeconds,
    residentMb: after.residentMb / after.nodes,
    peerBytes: (after.peerBytesSent - before.peerBytesSent) / nodeSeconds,
    tableReads: (after.tableReads - before.tableReads) / nodeSeconds,
    tableWrites: (after.tableWrites - before.tableWrites) / nodeSeconds,
  };
}

function readProcessorMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The second field is the command in brackets and may hold spaces.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  return (ticks * MS_PER_SECOND) / TICKS_PER_SECOND;
}

function readResidentMb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / KB_PER_MB;
}

async function readMetrics({ operator }: MeasuredNode): Promise<string> {
  const answer = await request(`http://${operator}/metrics`);
  return answer.body.text();
}

function sum(metrics: string, name: string, label: string): number {
  let total = 0;
  for (const line of metrics.split('\n')) {
    if (!line.startsWith(`${name}{`) || !line.includes(label)) continue;
    total += Number(line.slice(line.lastIndexOf(' ')));
  }
  return total;
}
