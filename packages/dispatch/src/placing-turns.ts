import {monotonicClock} from '#model';

/** What waits only for time to pass is placed again after this, in ms. */
const repeatMs = 20;

/** Runs placing in turns of its own, one for all that has changed before it. */
export class PlacingTurns implements Disposable {
  private next: NodeJS.Immediate | undefined;
  private later: NodeJS.Timeout | undefined;
  private isOver = false;
  private spent = 0;

  /** `place` returns true when it is to be run again after a while, though nothing else may change. */
  constructor(private readonly place: () => boolean) {}

  /** Time spent since the start, in ms. */
  get spentMs(): number {
    return Math.round(this.spent);
  }

  /** Runs placing in the next turn. */
  schedule(): void {
    if (this.isOver) return;
    this.next ??= setImmediate(() => {
      this.next = undefined;
      this.run();
    });
  }

  [Symbol.dispose](): void {
    this.isOver = true;
    clearImmediate(this.next);
    clearTimeout(this.later);
  }

  private run(): void {
    const beganAt = monotonicClock.now();
    const isToRepeat = this.place();
    this.spent += monotonicClock.now() - beganAt;
    if (isToRepeat) this.scheduleLater();
  }

  private scheduleLater(): void {
    this.later ??= setTimeout(() => {
      this.later = undefined;
      this.run();
    }, repeatMs);
  }
}
