import {readdirSync, readFileSync, readlinkSync} from 'node:fs';

/**
 * Finds which of the given processes holds the connection that was dialled from a port
 * of loopback. Reads the kernel's tables of this host's sockets; undefined when none does.
 */
export function findSocketOwner(
  localPort: number,
  pids: Iterable<number>,
): number | undefined {
  const inode = findInode(localPort);
  if (inode === undefined) return undefined;
  for (const pid of pids) {
    if (hasSocket(pid, inode)) return pid;
  }
  return undefined;
}

const localColumn = 1;
const inodeColumn = 9;

function findInode(localPort: number): string | undefined {
  const hexPort = localPort.toString(16).toUpperCase().padStart(4, '0');
  const lines = readFileSync('/proc/net/tcp', 'utf8').split('\n');
  for (const line of lines) {
    const columns = line.trim().split(/\s+/);
    if (columns[localColumn]?.endsWith(`:${hexPort}`)) {
      return columns[inodeColumn];
    }
  }
  return undefined;
}

function hasSocket(pid: number, inode: string): boolean {
  const folder = `/proc/${pid}/fd`;
  try {
    return readdirSync(folder).some(
      name => readLink(`${folder}/${name}`) === `socket:[${inode}]`,
    );
  } catch {
    return false;
  }
}

function readLink(path: string): string | undefined {
  try {
    return readlinkSync(path);
  } catch {
    return undefined;
  }
}
