import type {ProposeResult} from './hosting.js';

/** A command that waits for its place in the log. */
export interface Proposal<Result> {
  readonly command: Uint8Array;
  readonly settle: (result: ProposeResult<Result>) => void;
}

/** Bounds the wait behind a disk that hangs: the others may still commit. */
const maxHoldMs = 20;

/**
 * Gathers proposals for one append: those made in one turn of the event loop,
 * and those made while a sync runs, which could not be synced sooner.
 */
export class ProposalQueue<Result> {
  private waiting: Proposal<Result>[] = [];
  private syncs = 0;
  private immediate: NodeJS.Immediate | undefined;
  private holdTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly append: (batch: readonly Proposal<Result>[]) => void,
  ) {}

  add(proposal: Proposal<Result>): void {
    this.waiting.push(proposal);
    if (this.syncs === 0) {
      this.immediate ??= setImmediate(() => this.flush());
      return;
    }
    this.holdTimer ??= setTimeout(() => this.flush(), maxHoldMs);
  }

  /** Takes note that a sync begins. */
  beginSync(): void {
    this.syncs++;
  }

  /** Takes note that a sync has ended; appends what waited for the last one. */
  endSync(): void {
    this.syncs--;
    if (this.syncs === 0) this.flush();
  }

  /** Returns what still waits; nothing is appended any more. */
  close(): readonly Proposal<Result>[] {
    return this.takeWaiting();
  }

  private flush(): void {
    const batch = this.takeWaiting();
    if (batch.length > 0) this.append(batch);
  }

  private takeWaiting(): readonly Proposal<Result>[] {
    clearImmediate(this.immediate);
    clearTimeout(this.holdTimer);
    this.immediate = undefined;
    this.holdTimer = undefined;
    const {waiting} = this;
    this.waiting = [];
    return waiting;
  }
}
