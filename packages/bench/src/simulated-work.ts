/** How a simulated target executes one task. */
export interface WorkSpec {
  readonly sleepMs: number;
  readonly fails: boolean;
  readonly echo: unknown;
  /** Cores and memory that the task uses at a worker; unset, its declared demand. */
  readonly cores?: number;
  readonly memoryMb?: number;
}

/** Parses a payload such as `{"sleepMs":N,"echo":X}` or `{"fail":true}`; a payload that is not an object is echoed at once. */
export function parseWorkSpec(payload: unknown): WorkSpec {
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

/** How simulated work ended. */
export type WorkEnd = 'done' | 'stopped';

/** Work simulated by a timer; its rate can change while it runs. */
export class SimulatedWork {
  readonly ended: Promise<WorkEnd>;

  private timer: NodeJS.Timeout;
  private since = performance.now();
  private resolveEnded!: (end: WorkEnd) => void;

  /** Takes `remainingMs` at rate 1, twice as long at rate 0.5. */
  constructor(
    private remainingMs: number,
    private rate = 1,
  ) {
    this.ended = new Promise(resolve => (this.resolveEnded = resolve));
    this.timer = this.arm();
  }

  /** Returns the remaining work, in ms at rate 1. */
  computeRemainingMs(): number {
    const elapsed = performance.now() - this.since;
    return Math.max(0, this.remainingMs - elapsed * this.rate);
  }

  /** Continues at another rate; 0 suspends the work. */
  adjustRate(rate: number): void {
    this.remainingMs = this.computeRemainingMs();
    this.since = performance.now();
    this.rate = rate;
    clearTimeout(this.timer);
    this.timer = this.arm();
  }

  stop(): void {
    clearTimeout(this.timer);
    this.resolveEnded('stopped');
  }

  private arm(): NodeJS.Timeout {
    const ms = this.rate > 0 ? this.remainingMs / this.rate : maxTimerMs;
    return setTimeout(
      () => this.resolveEnded('done'),
      Math.min(ms, maxTimerMs),
    );
  }
}

const maxTimerMs = 2 ** 31 - 1;
