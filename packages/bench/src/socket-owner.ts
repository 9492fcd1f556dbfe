import {readdirSync, readFileSync, readlinkSync} from 'node:fs';

/**
 * Finds which of the given processes holds the connection that was dialled from a port
 * of loopback. Reads the kernel's tables of this host's sockets; undefined when none does.
 */
export function findSocketOwner(
  localPort: number,
  pids: readonly number[],
): number | undefined {
  for (let i = 0; i < maxReads; i++) {
    const inodes = listInodes(localPort);
    for (const pid of pids) {
      if (inodes.some(inode => hasSocket(pid, inode))) return pid;
    }
  }
  return undefined;
}

/** The kernel's table may lack a socket when others come and go while it is read. */
const maxReads = 5;
const localColumn = 1;
const inodeColumn = 9;

function listInodes(localPort: number): readonly string[] {
  const hexPort = localPort.toString(16).toUpperCase().padStart(4, '0');
  return readFileSync('/proc/net/tcp', 'utf8')
    .split('\n')
    .map(line => line.trim().split(/\s+/))
    .filter(columns => columns[localColumn]?.endsWith(`:${hexPort}`))
    .map(columns => columns[inodeColumn]!);
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
