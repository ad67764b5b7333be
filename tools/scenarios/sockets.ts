/**
 * Which TCP connections a process that this tool started holds, as Linux tells it. A relay before a
 * node's peer address learns by it who connects.
 */
import { readdirSync, readFileSync, readlinkSync } from 'node:fs';

const LOCAL_ADDRESS_COLUMN = 1;
const INODE_COLUMN = 9;
const HEXADECIMAL = 16;
const SOCKET_PATTERN = /^socket:\[(\d+)\]$/;

/** Local ports of a process's TCP connections; none when it has ended. */
export function listLocalPorts(pid: number): Set<number> {
  const ports = new Set<number>();
  try {
    const inodes = listSocketInodes(pid);
    for (const line of readFileSync(`/proc/${pid}/net/tcp`, 'utf8').split('\n').slice(1)) {
      const columns = line.trim().split(/\s+/);
      const port = columns[LOCAL_ADDRESS_COLUMN]?.split(':')[1];
      if (port !== undefined && inodes.has(columns[INODE_COLUMN] ?? '')) {
        ports.add(Number.parseInt(port, HEXADECIMAL));
      }
    }
  } catch {
    return ports;
  }
  return ports;
}

function listSocketInodes(pid: number): Set<string> {
  const inodes = new Set<string>();
  for (const descriptor of readdirSync(`/proc/${pid}/fd`)) {
    try {
      const found = SOCKET_PATTERN.exec(readlinkSync(`/proc/${pid}/fd/${descriptor}`));
      if (found?.[1] !== undefined) inodes.add(found[1]);
    } catch {
      // The descriptor was closed since it was listed
    }
  }
  return inodes;
}
