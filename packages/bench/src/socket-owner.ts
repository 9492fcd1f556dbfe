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
    if (inodes.length === 0) continue;
    return pids.find(pid => inodes.some(inode => hasSocket(pid, inode)));
  }
  return undefined;
}

/** The kernel's table may lack a socket when others come and go while it is read. */
const maxReads = 5;
/** A line of the table: its number, local address, seven columns, and the inode; 0 when closed. */
const inodePattern = '(?:\\S+ +){7}([1-9]\\d*) ';

function listInodes(localPort: number): readonly string[] {
  const hexPort = localPort.toString(16).toUpperCase().padStart(4, '0');
  const lines = new RegExp(
    `^ *\\d+: [0-9A-F]{8}:${hexPort} +${inodePattern}`,
    'gm',
  );
  const table = readFileSync('/proc/net/tcp', 'utf8');
  return [...table.matchAll(lines)].map(([, inode]) => inode!);
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
