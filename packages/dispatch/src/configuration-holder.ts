import type {Configuration, Instant} from '#model';
import {monotonicClock} from '#model';

/** The configuration in force, once there is one. */
export class ConfigurationHolder {
  private held: Configuration | undefined;
  private waiters: (() => void)[] = [];

  /** Until `waitsUntil` callers wait for the first configuration; later they are refused without one. */
  constructor(private readonly waitsUntil: Instant) {}

  /** True once a configuration is in force. */
  get isSet(): boolean {
    return this.held !== undefined;
  }

  /** Puts a configuration in force. */
  set(configuration: Configuration): void {
    this.held = configuration;
    for (const wake of this.waiters.splice(0)) wake();
  }

  /** Finds the configuration in force; while the process is starting, waits for the first. */
  async find(): Promise<Configuration | undefined> {
    const waitMs = this.waitsUntil - monotonicClock.now();
    if (this.held !== undefined || waitMs <= 0) return this.held;
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, waitMs);
      this.waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
    return this.held;
  }
}
