import {readdirSync, readFileSync, readlinkSync} from 'node:fs';

/**
 * Finds which of the given processes owns the socket of a local TCP port, from the kernel's
 * socket table and the processes' open files; undefined when none does.
 */
export function findSocketOwner(
  localPort: number,
  pids: readonly number[],
): number | undefined {
  for (let i = 0; i < maxTableReads; i++) {
    const inodes = listInodes(localPort);
    if (inodes.length === 0) continue;
    return pids.find(pid => inodes.some(inode => hasSocket(pid, inode)));
  }
  return undefined;
}

/** Sockets that open or close during a read can make the kernel's table omit others. */
const maxTableReads = 5;
/** Follows the line's number and local address: seven columns, then the inode, 0 when closed. */
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
