import {createServer, type Server} from 'node:net';

// Below the ephemeral port range, from which outgoing connections take their ports.
const firstPort = 10_000;
const lastPort = 32_000;
const portsPerBlock = 200;
const blocks = (lastPort - firstPort) / portsPerBlock;

let ownRange: PortRange | undefined;

/** Allocates loopback ports on which nothing listens. */
export class PortRange {
  private constructor(
    private next: number,
    /** Where the ports end and another block is needed. */
    private end: number,
  ) {}

  /** Returns the ports from a given one on. */
  static startAt(first: number): PortRange {
    return new PortRange(first, Infinity);
  }

  /**
   * Returns ports in blocks that no other process's range hands out, so that a port stays with its
   * member while that is stopped. A block is kept until this process ends.
   */
  static reserve(): PortRange {
    return new PortRange(0, 0);
  }

  /** Returns the reserved range that the sites of this process share. */
  static choose(): PortRange {
    ownRange ??= PortRange.reserve();
    return ownRange;
  }

  /**
   * Returns the next port on which nothing listens. Throws when it needs a block and all are
   * reserved.
   */
  async take(): Promise<number> {
    for (;;) {
      if (this.next >= this.end) await this.reserveBlock();
      const port = this.next++;
      if (await isFree(port)) return port;
    }
  }

  /** Returns `count` ports on which nothing listens. */
  async takeMany(count: number): Promise<readonly number[]> {
    const ports: number[] = [];
    while (ports.length < count) ports.push(await this.take());
    return ports;
  }

  /** Reserves a block by listening on its first port. */
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
