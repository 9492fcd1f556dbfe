/** What a stand-in target does for one task. */
export interface WorkOrder {
  readonly sleepMs: number;
  readonly fails: boolean;
  readonly echo: unknown;
  /** What the task really holds of a worker; unset where it keeps to its declared demand. */
  readonly cores?: number;
  readonly memoryMb?: number;
}

/** Reads a payload `{"sleepMs":N,"echo":X}`, `{"fail":true}`; anything else is echoed at once. */
export function parseWorkOrder(payload: unknown): WorkOrder {
  if (typeof payload !== 'object' || payload === null) {
    return {sleepMs: 0, fails: false, echo: payload};
  }
  const fields = payload as Readonly<Record<string, unknown>>;
  return {
    sleepMs: readNumber(fields['sleepMs']) ?? 0,
    fails: fields['fail'] === true,
    echo: fields['echo'],
    cores: readNumber(fields['cores']),
    memoryMb: readNumber(fields['memoryMb']),
  };
}

function readNumber(value: unknown): number | undefined {
  return typeof value === 'number' && value >= 0 ? value : undefined;
}

/** Why a piece of work is over. */
export type WorkEnd = 'done' | 'stopped';

/** Timed work whose pace can change while it runs. */
export class Work {
  readonly ended: Promise<WorkEnd>;

  private timer: NodeJS.Timeout;
  private since = performance.now();
  private resolveEnded!: (end: WorkEnd) => void;

  /** Takes `remainingMs` at pace 1, twice as long at pace 0.5. */
  constructor(
    private remainingMs: number,
    private pace = 1,
  ) {
    this.ended = new Promise(resolve => (this.resolveEnded = resolve));
    this.timer = this.arm();
  }

  /** Returns the work left in ms at pace 1. */
  computeRemainingMs(): number {
    const elapsed = performance.now() - this.since;
    return Math.max(0, this.remainingMs - elapsed * this.pace);
  }

  /** Goes on at another pace; 0 holds the work still. */
  adjustPace(pace: number): void {
    this.remainingMs = this.computeRemainingMs();
    this.since = performance.now();
    this.pace = pace;
    clearTimeout(this.timer);
    this.timer = this.arm();
  }

  stop(): void {
    clearTimeout(this.timer);
    this.resolveEnded('stopped');
  }

  private arm(): NodeJS.Timeout {
    const ms = this.pace > 0 ? this.remainingMs / this.pace : maxTimerMs;
    return setTimeout(
      () => this.resolveEnded('done'),
      Math.min(ms, maxTimerMs),
    );
  }
}

const maxTimerMs = 2 ** 31 - 1;
