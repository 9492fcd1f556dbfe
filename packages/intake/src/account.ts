import {type Clock, type Instant, monotonicClock} from '#model';
import type {IntakeSettings} from '#settings';
import {
  chooseBodyToCut,
  computeBodyDeadline,
  type HeldQuantity,
  type UnfinishedBody,
} from './cut.js';
import {BlockBuffer, BlockPool} from './block-buffer.js';
import type {GarbageLimiter} from './garbage.js';

/** Why a body was cut. */
export type CutCause = 'overloaded' | 'too-slow';

export interface HoldOptions {
  /** Called once when the body is cut; it holds nothing any more. */
  readonly onCut: (cause: CutCause) => void;
  /** Whether the body has to keep a minimum rate. */
  readonly isTimed: boolean;
}

const sweepIntervalMs = 500;

/** The bytes that bodies and messages of one process hold before they are complete and handled. */
export class BodyAccount {
  private readonly unfinished = new Set<BodyHold>();
  private bytes = 0;
  private chunks = 0;
  private sweepTimer: NodeJS.Timeout | undefined;

  readonly pool: BlockPool;

  constructor(
    private readonly settings: IntakeSettings,
    readonly garbage: GarbageLimiter,
    readonly clock: Clock = monotonicClock,
  ) {
    this.pool = new BlockPool(settings.maxHeldBytes);
  }

  /** Memory held by all bodies, in bytes. */
  get heldBytes(): number {
    return this.bytes;
  }

  get unfinishedCount(): number {
    return this.unfinished.size;
  }

  /** Opens the account of a body that begins to arrive. */
  open(options: HoldOptions): BodyHold {
    const hold = new BodyHold(this, this.clock.now(), options);
    this.unfinished.add(hold);
    this.sweepTimer ??= setInterval(
      () => this.cutOverdue(),
      sweepIntervalMs,
    ).unref();
    return hold;
  }

  /** Adds what a body holds, and cuts bodies until the sum is within the limits. */
  add(bytes: number, chunks: number): void {
    this.bytes += bytes;
    this.chunks += chunks;
    const {maxHeldBytes, maxHeldChunks} = this.settings;
    while (this.bytes > maxHeldBytes && this.cutOne('bytes'));
    while (this.chunks > maxHeldChunks && this.cutOne('chunks'));
  }

  /** Takes a body out of those that may be cut; what it holds stays charged until it is released. */
  finish(hold: BodyHold): void {
    this.unfinished.delete(hold);
    this.chunks -= hold.chunks;
  }

  release(bytes: number): void {
    this.bytes -= bytes;
  }

  private cutOne(quantity: HeldQuantity): boolean {
    const chosen = chooseBodyToCut(this.unfinished, quantity, this.clock.now());
    chosen?.cut('overloaded');
    return chosen !== undefined;
  }

  /** Cuts the bodies whose time is over. */
  cutOverdue(): void {
    const now = this.clock.now();
    for (const hold of this.unfinished) {
      if (!hold.options.isTimed) continue;
      const {openedAt, length} = hold;
      if (now >= computeBodyDeadline(openedAt, length, this.settings))
        hold.cut('too-slow');
    }
    if (this.unfinished.size > 0) return;
    clearInterval(this.sweepTimer);
    this.sweepTimer = undefined;
  }
}

/** One body that is arriving, and its part of the account. */
export class BodyHold implements UnfinishedBody {
  private readonly buffer: BlockBuffer;
  private chunkCount = 0;
  private lastReceivedAt: Instant;
  private isFinished = false;

  constructor(
    private readonly account: BodyAccount,
    readonly openedAt: Instant,
    readonly options: HoldOptions,
  ) {
    this.buffer = new BlockBuffer(account.pool);
    this.lastReceivedAt = openedAt;
  }

  get receivedAt(): Instant {
    return this.lastReceivedAt;
  }

  get isTimed(): boolean {
    return this.options.isTimed;
  }

  get bytes(): number {
    return this.buffer.capacity;
  }

  get chunks(): number {
    return this.chunkCount;
  }

  /** The bytes received. */
  get length(): number {
    return this.buffer.length;
  }

  /** Appends a chunk. The body may be cut by this. */
  append(chunk: Buffer): void {
    if (this.isFinished) return;
    const before = this.bytes;
    this.buffer.append(chunk);
    this.chunkCount++;
    this.lastReceivedAt = this.account.clock.now();
    this.account.add(this.bytes - before, 1);
    this.account.garbage.noteChunk(chunk.length);
  }

  /** Marks the body as complete: it cannot be cut any more. */
  finish(): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.account.finish(this);
  }

  /** Returns the body, which is then held by the caller alone. */
  take(): Buffer {
    this.finish();
    this.account.release(this.bytes);
    return this.buffer.take();
  }

  /** Drops the body. */
  drop(): void {
    this.finish();
    this.account.release(this.bytes);
    this.buffer.drop();
  }

  cut(cause: CutCause): void {
    this.drop();
    this.options.onCut(cause);
  }
}
