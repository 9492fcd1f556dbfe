import {readdirSync, readFileSync, readlinkSync} from 'node:fs';
import type {Address} from '#model';

/** The addresses of a connection, as seen by the process that dialled it. */
export interface DialledConnection {
  readonly local: Address;
  readonly remote: Address;
}

/**
 * Finds which of the given processes dialled a local TCP connection, from the kernel's socket
 * table and the processes' open files; undefined when none did. The local port alone doesn't
 * identify a connection: connections to different addresses may share it.
 */
export function findSocketOwner(
  connection: DialledConnection,
  pids: readonly number[],
): number | undefined {
  for (let i = 0; i < maxTableReads; i++) {
    const inode = findInode(connection);
    if (inode === undefined) continue;
    return pids.find(pid => hasSocket(pid, inode));
  }
  return undefined;
}

/** The table is read again when the connection is missing: sockets that open or close during a read can make the kernel omit others. */
const maxTableReads = 5;
/** Matches the rest of a line after the two addresses: six columns, then the inode, which is 0 for a closed socket. */
const inodePattern = '(?:\\S+ +){6}([1-9]\\d*) ';

function findInode({local, remote}: DialledConnection): string | undefined {
  const addresses = `${formatTableAddress(local)} ${formatTableAddress(remote)}`;
  const line = new RegExp(`^ *\\d+: ${addresses} +${inodePattern}`, 'm');
  return line.exec(readFileSync('/proc/net/tcp', 'utf8'))?.[1];
}

/** Formats an IPv4 address and port as the table of a little-endian machine does. */
function formatTableAddress(address: Address): string {
  const [host, port] = address.split(':');
  const octets = host!.split('.').reverse();
  const hex = Buffer.from(octets.map(Number)).toString('hex');
  const hexPort = Number(port).toString(16).padStart(4, '0');
  return `${hex}:${hexPort}`.toUpperCase();
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
