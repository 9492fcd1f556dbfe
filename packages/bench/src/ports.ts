import {createServer} from 'node:net';

// Below the ephemeral port range, from which outgoing connections take their ports.
const firstPort = 10_000;
const lastPort = 32_000;
// Coprime to the span, so that processes with neighbouring ids get ranges far apart.
const portsPerProcess = 997;

let ownRange: PortRange | undefined;

/** Allocates loopback ports in ascending order from a base, skipping those in use. */
export class PortRange {
  constructor(private next: number) {}

  /** Returns this process's range; its start depends on the pid, to avoid those of other processes. */
  static choose(): PortRange {
    const span = lastPort - firstPort;
    ownRange ??= new PortRange(
      firstPort + ((process.pid * portsPerProcess) % span),
    );
    return ownRange;
  }

  /** Returns the next port on which nothing listens. */
  async take(): Promise<number> {
    for (;;) {
      const port = this.next++;
      if (await isFree(port)) return port;
    }
  }

  /** Returns `count` ports in ascending order. */
  async takeMany(count: number): Promise<readonly number[]> {
    const ports: number[] = [];
    while (ports.length < count) ports.push(await this.take());
    return ports;
  }
}

function isFree(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
