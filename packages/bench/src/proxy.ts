import {type AddressInfo, connect, createServer, type Server} from 'node:net';
import type {Socket} from 'node:net';
import type {Address} from '#model';
import {Pipe, resetSocket} from './pipe.js';
import type {DialledConnection} from './socket-owner.js';
import {MessageTap} from './tap.js';

/** A fault of a network link. */
export type Fault =
  | {readonly kind: 'none'}
  /** Open and new connections are reset. */
  | {readonly kind: 'cut'}
  /** Bytes are held back until the fault ends; both sockets stay open. */
  | {readonly kind: 'freeze'}
  /** Bytes are discarded. An affected connection stays silent even after the fault ends. */
  | {readonly kind: 'swallow'; readonly way: 'to-server' | 'to-client' | 'both'}
  /** Every chunk is delayed by `ms`; the order is kept. */
  | {readonly kind: 'delay'; readonly ms: number};

export const noFault: Fault = {kind: 'none'};

/** Names the process that dialled a connection; undefined when it can't be found. */
export type Identify = (connection: DialledConnection) => string | undefined;

interface Link {
  /** Names the dialling process; looked up on the first call and cached. */
  readonly findSource: () => string | undefined;
  readonly client: Socket;
  readonly server: Socket;
  readonly toServer: Pipe;
  readonly toClient: Pipe;
}

/** A TCP proxy in front of one address that injects faults, for all sources or for one. */
export class FaultProxy implements AsyncDisposable {
  /** Counts the messages of connections that use the inner protocol. */
  readonly tap = new MessageTap();
  private fault: Fault = noFault;
  private readonly faultBySource = new Map<string, Fault>();
  private readonly links = new Set<Link>();

  private constructor(
    private readonly listener: Server,
    private readonly target: {readonly host: string; readonly port: number},
    private readonly identify: Identify,
  ) {
    listener.on('connection', client => this.accept(client));
  }

  /** Listens on a port of a loopback host and forwards to `target`; port 0 picks a free one. */
  static async listen(
    port: number,
    target: Address,
    identify: Identify = () => undefined,
    ownHost = '127.0.0.1',
  ): Promise<FaultProxy> {
    const [host, targetPort] = target.split(':');
    const listener = createServer({allowHalfOpen: true});
    await new Promise<void>((resolve, reject) => {
      listener.once('error', reject);
      listener.listen(port, ownHost, resolve);
    });
    return new FaultProxy(
      listener,
      {host: host!, port: Number(targetPort)},
      identify,
    );
  }

  get address(): Address {
    const {address, port} = this.listener.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** The number of open connections through the proxy. */
  get connections(): number {
    return this.links.size;
  }

  /** Sets the fault of the links from one source, or of all sources without their own fault. */
  inject(fault: Fault, source?: string): void {
    if (source === undefined) this.fault = fault;
    else this.faultBySource.set(source, fault);
    for (const link of this.links) this.applyFault(link);
  }

  /** Ends every fault. Connections that lost bytes stay silent. */
  restore(): void {
    this.fault = noFault;
    this.faultBySource.clear();
    for (const link of this.links) this.applyFault(link);
  }

  /** Resets the open connections, of one source or of all; new ones work. */
  resetOpen(source?: string): void {
    for (const link of this.listLinks(source)) resetLink(link);
  }

  /** Discards all further bytes of the open connections without closing them; new ones work. */
  swallowOpen(source?: string): void {
    for (const link of this.listLinks(source)) {
      link.toServer.swallow();
      link.toClient.swallow();
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.listener.close(() => resolve()),
    );
    for (const link of this.links) resetLink(link);
    await closed;
  }

  private listLinks(source: string | undefined): readonly Link[] {
    return [...this.links].filter(
      link => source === undefined || link.findSource() === source,
    );
  }

  /** Finds the fault of a link; looks up its source only while some source has its own fault. */
  private findFault(findSource: Link['findSource']): Fault {
    if (this.faultBySource.size === 0) return this.fault;
    const source = findSource();
    if (source === undefined) return this.fault;
    return this.faultBySource.get(source) ?? this.fault;
  }

  private accept(client: Socket): void {
    const findSource = this.deferIdentify(client);
    client.on('error', () => {});
    if (this.findFault(findSource).kind === 'cut') {
      resetSocket(client);
      return;
    }
    const server = connect({...this.target, allowHalfOpen: true});
    server.on('error', () => {});
    client.setNoDelay(true);
    server.setNoDelay(true);
    const link: Link = {
      findSource,
      client,
      server,
      toServer: new Pipe(client, server, this.tap.open()),
      toClient: new Pipe(server, client, this.tap.open()),
    };
    this.links.add(link);
    const removeLink = () => {
      if (client.destroyed && server.destroyed) this.links.delete(link);
    };
    client.once('close', removeLink);
    server.once('close', removeLink);
    this.applyFault(link);
  }

  private deferIdentify(client: Socket): Link['findSource'] {
    const connection = {
      local: `${client.remoteAddress}:${client.remotePort}`,
      remote: `${client.localAddress}:${client.localPort}`,
    };
    let found: {readonly source: string | undefined} | undefined;
    return () => (found ??= {source: this.identify(connection)}).source;
  }

  private applyFault(link: Link): void {
    const fault = this.findFault(link.findSource);
    switch (fault.kind) {
      case 'cut':
        resetLink(link);
        break;
      case 'swallow':
        if (fault.way !== 'to-client') link.toServer.swallow();
        if (fault.way !== 'to-server') link.toClient.swallow();
        break;
      case 'none':
      case 'freeze':
      case 'delay': {
        const flow =
          fault.kind === 'freeze'
            ? 'held'
            : fault.kind === 'delay'
              ? fault.ms
              : 0;
        link.toServer.setFlow(flow);
        link.toClient.setFlow(flow);
        break;
      }
    }
  }
}

function resetLink(link: Link): void {
  resetSocket(link.client);
  resetSocket(link.server);
}
