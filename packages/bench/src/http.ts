import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

/** Reads a request's JSON body; `undefined` when it is not JSON. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8'));
  } catch {
    return undefined;
  }
}

/** Sends a JSON response, unless the connection is closed or the response is already sent. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  if (response.destroyed || response.writableEnded) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

export type RequestListener = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** An HTTP server on loopback. Disposal closes every connection. */
export class LoopbackServer implements AsyncDisposable {
  private constructor(private readonly server: Server) {}

  /** Listens on a loopback port; 0 picks a free one. */
  static async listen(
    port: number,
    handler: RequestListener,
    maxConnections?: number,
  ): Promise<LoopbackServer> {
    const server = createServer(handler);
    server.keepAliveTimeout = keepAliveMs;
    if (maxConnections !== undefined) server.maxConnections = maxConnections;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, '127.0.0.1', resolve);
    });
    return new LoopbackServer(server);
  }

  get url(): string {
    const {port} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    this.server.closeAllConnections();
    await closed;
  }
}

const keepAliveMs = 60_000;
