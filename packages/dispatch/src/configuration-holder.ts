import type {Configuration, Instant} from '#model';
import {monotonicClock} from '#model';

/** Holds the active configuration, once there is one. */
export class ConfigurationHolder {
  private held: Configuration | undefined;
  private waiters: (() => void)[] = [];

  /** Callers wait for the first configuration until `waitDeadline`. */
  constructor(private readonly waitDeadline: Instant) {}

  /** True once a configuration is active. */
  get isSet(): boolean {
    return this.held !== undefined;
  }

  /** Activates a configuration and resolves pending calls of `find`. */
  set(configuration: Configuration): void {
    this.held = configuration;
    for (const wake of this.waiters.splice(0)) wake();
  }

  /** Returns the active configuration, waiting for the first one; undefined if there is none by the deadline. */
  async find(): Promise<Configuration | undefined> {
    const waitMs = this.waitDeadline - monotonicClock.now();
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
