import type {Socket} from 'node:net';

/** How bytes go through: held back, or delayed by this many ms. */
export type Flow = 'held' | number;

/** What passes through a pipe, in order. */
type Piece =
  | {readonly kind: 'bytes'; readonly bytes: Buffer}
  /** The sender has sent its last byte. */
  | {readonly kind: 'end'}
  /** The sender's socket is gone. */
  | {readonly kind: 'gone'};

interface DatedPiece {
  readonly piece: Piece;
  readonly readAt: number;
}

/** Carries bytes, and the end of them, one way between two sockets. */
export class Pipe {
  private flow: Flow = 0;
  private isSilent = false;
  private readonly waiting: DatedPiece[] = [];
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly from: Socket,
    private readonly to: Socket,
    observe: (chunk: Buffer) => void = () => {},
  ) {
    from.on('data', bytes => {
      observe(bytes);
      this.take({kind: 'bytes', bytes});
    });
    from.on('end', () => this.take({kind: 'end'}));
    from.on('close', () => this.take({kind: 'gone'}));
    to.on('close', () => this.stop());
  }

  setFlow(flow: Flow): void {
    this.flow = flow;
    this.advance();
  }

  /** Throws away whatever comes from now on, and the news that the sender has gone. */
  swallow(): void {
    this.isSilent = true;
    this.stop();
  }

  private take(piece: Piece): void {
    if (this.isSilent) return;
    this.waiting.push({piece, readAt: performance.now()});
    this.advance();
  }

  private advance(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    while (this.flow !== 'held' && this.waiting.length > 0) {
      const first = this.waiting[0]!;
      const remainingMs = first.readAt + this.flow - performance.now();
      if (remainingMs > 0) {
        this.timer = setTimeout(() => this.advance(), Math.ceil(remainingMs));
        return;
      }
      this.waiting.shift();
      this.deliver(first.piece);
    }
  }

  private deliver(piece: Piece): void {
    switch (piece.kind) {
      case 'bytes':
        this.to.write(piece.bytes);
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
 * Closes a socket at once, with a reset where the system allows one: not while it
 * connects, and not once its end is being sent, when a reset would leak the socket.
 */
export function resetSocket(socket: Socket): void {
  if (!socket.connecting && !socket.writableEnded) socket.resetAndDestroy();
  socket.destroy();
}
