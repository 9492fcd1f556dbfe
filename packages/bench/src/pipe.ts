import type {Socket} from 'node:net';

/** Whether bytes are held back, or by how many ms they are delayed. */
export type Flow = 'held' | number;

/** An event of the sending socket, relayed in order. */
type StreamEvent =
  | {readonly kind: 'bytes'; readonly bytes: Buffer}
  /** The sender has half-closed its socket. */
  | {readonly kind: 'end'}
  /** The sender's socket is closed. */
  | {readonly kind: 'gone'};

interface QueuedEvent {
  readonly event: StreamEvent;
  readonly receivedAt: number;
}

/** Relays bytes, half-close and close in one direction between two sockets. */
export class Pipe {
  private flow: Flow = 0;
  private isDiscarding = false;
  private readonly waiting: QueuedEvent[] = [];
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly from: Socket,
    private readonly to: Socket,
    observe: (chunk: Buffer) => void = () => {},
  ) {
    from.on('data', bytes => {
      observe(bytes);
      this.enqueue({kind: 'bytes', bytes});
    });
    from.on('end', () => this.enqueue({kind: 'end'}));
    from.on('close', () => this.enqueue({kind: 'gone'}));
    to.on('close', () => this.stop());
  }

  setFlow(flow: Flow): void {
    this.flow = flow;
    this.flush();
  }

  /** Discards queued and later bytes, and the sender's end and close events. */
  swallow(): void {
    this.isDiscarding = true;
    this.stop();
  }

  private enqueue(event: StreamEvent): void {
    if (this.isDiscarding) return;
    this.waiting.push({event, receivedAt: performance.now()});
    this.flush();
  }

  private flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    while (this.flow !== 'held' && this.waiting.length > 0) {
      const first = this.waiting[0]!;
      const remainingMs = first.receivedAt + this.flow - performance.now();
      if (remainingMs > 0) {
        this.timer = setTimeout(() => this.flush(), Math.ceil(remainingMs));
        return;
      }
      this.waiting.shift();
      this.deliver(first.event);
    }
  }

  private deliver(event: StreamEvent): void {
    switch (event.kind) {
      case 'bytes':
        this.to.write(event.bytes);
        break;
      case 'end':
        this.to.end();
        break;
      case 'gone':
        this.closeReceiver();
        break;
    }
  }

  private closeReceiver(): void {
    if (this.from.errored) resetSocket(this.to);
    else this.to.destroySoon();
  }

  private stop(): void {
    clearTimeout(this.timer);
    this.waiting.length = 0;
  }
}

/**
 * Closes a socket immediately, with a reset where possible: not while it is connecting, and
 * not after `end()`, when a reset would leak the socket.
 */
export function resetSocket(socket: Socket): void {
  if (!socket.connecting && !socket.writableEnded) socket.resetAndDestroy();
  socket.destroy();
}
