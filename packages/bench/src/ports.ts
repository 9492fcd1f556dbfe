import {createServer} from 'node:net';

// Below the range from which the system takes the ports of outgoing connections.
const firstPort = 10_000;
const lastPort = 32_000;
// Prime to the span, so that processes with ids near each other get ranges far apart.
const portsPerProcess = 997;

let ownRange: PortRange | undefined;

/** Hands out ports of loopback upwards from a base, leaving out those in use. */
export class PortRange {
  constructor(private next: number) {}

  /** The range of this process, apart from those of others that start at the same time. */
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

  /** Returns that many ports in ascending order. */
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
