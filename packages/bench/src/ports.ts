import {createServer, type Server} from 'node:net';

// Below the default ephemeral port range of Linux, from which outgoing connections get their ports.
const firstPort = 10_000;
const lastPort = 32_000;
const portsPerBlock = 200;
const blocks = (lastPort - firstPort) / portsPerBlock;

let sharedRange: PortRange | undefined;

/** Allocates loopback ports on which nothing listens. */
export class PortRange {
  private constructor(
    private next: number,
    /** The end (exclusive) of the current block; after it another block is reserved. */
    private end: number,
  ) {}

  /** Creates a range of the ports from `first` on, without reserving them. */
  static startAt(first: number): PortRange {
    return new PortRange(first, Infinity);
  }

  /**
   * Creates a range that reserves a block of ports whenever it needs more. No other range that
   * reserves blocks, in this or another process, allocates a port of that block, so that no other
   * member takes the port of a stopped one. A block stays reserved until this process exits.
   */
  static createReserving(): PortRange {
    return new PortRange(0, 0);
  }

  /** Returns the range that all sites of this process share; it reserves blocks. */
  static getShared(): PortRange {
    sharedRange ??= PortRange.createReserving();
    return sharedRange;
  }

  /**
   * Allocates the next port on which nothing listens. Throws when another block is needed but all
   * of them are reserved.
   */
  async take(): Promise<number> {
    for (;;) {
      if (this.next >= this.end) await this.reserveBlock();
      const port = this.next++;
      if (await isFree(port)) return port;
    }
  }

  /** Allocates `count` ports on which nothing listens. */
  async takeMany(count: number): Promise<readonly number[]> {
    const ports: number[] = [];
    while (ports.length < count) ports.push(await this.take());
    return ports;
  }

  /** Reserves a free block by listening on its first port, which is not allocated. */
  private async reserveBlock(): Promise<void> {
    for (let i = 0; i < blocks; i++) {
      const block = (process.pid + i) % blocks;
      const first = firstPort + block * portsPerBlock;
      const listener = await tryListen(first);
      if (listener === undefined) continue;
      listener.unref();
      this.next = first + 1;
      this.end = first + portsPerBlock;
      return;
    }
    throw new Error(`all ${blocks} blocks of ports are reserved`);
  }
}

async function isFree(port: number): Promise<boolean> {
  const server = await tryListen(port);
  if (server === undefined) return false;
  await new Promise(resolve => server.close(resolve));
  return true;
}

/** Listens on a loopback port; undefined when that fails. */
function tryListen(port: number): Promise<Server | undefined> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}
